/**
 * Tells endpoints that fail from paths of this host that fail. The relay records each byte of an endpoint and each sign of
 * trouble: a connection that could not be opened, that broke, or on which no byte arrives. Trouble is reported only once the
 * host has heard from any endpoint after it; where no response is due, a probe tells. Trouble at several endpoints without a byte
 * from any means that the host itself is cut off; it finds the end of that with probes, so that no caller's request is risked.
 */
import type { EndpointId, MonotonicMs } from '@catkinferry/core.types'
import { CONFIRM_DELAY_MS, CUT_OFF_ENDPOINTS, MAX_HELD_REPORTS, PROBE_DELAY_MS, PROBE_INTERVAL_MS, PROBES_PER_ROUND } from './constants.ts'

export const PathState = { OPEN: 'open', SUSPECTED: 'suspected', CUT_OFF: 'cutOff' } as const
export type PathState = typeof PathState[keyof typeof PathState]

export interface ProbeTarget {
  readonly endpoint: EndpointId
  readonly address: string
  readonly healthPath: string
}

export interface PathWatchOptions {
  readonly getNow: () => MonotonicMs
  readonly nextFraction: () => number
  /** All endpoints that this host knows of. */
  readonly listTargets: () => readonly ProbeTarget[]
  /** Resolves to whether the endpoint answers a health check with any response. */
  readonly probe: (target: ProbeTarget) => Promise<boolean>
  readonly onChange: (state: PathState, endpoints: readonly EndpointId[]) => void
}

export interface PathWatch {
  /** Whether requests should not be sent to endpoints from this host. */
  readonly isCutOff: () => boolean
  /** Whether that is certain: probes have failed too. */
  readonly isCutOffConfirmed: () => boolean
  /** Records that bytes of any endpoint have arrived. */
  readonly recordHeard: () => void
  /** `report` is called once it is known that this host reaches endpoints, at once where there is only one; never if it is cut off. */
  readonly recordTrouble: (endpoint: EndpointId, report: () => void) => void
  /** Called at short intervals. */
  readonly check: () => void
}

interface HeldReport {
  readonly at: MonotonicMs
  readonly report: () => void
}

/** Picks up to `count` rows at random. */
function pickRandom<Row> (rows: readonly Row[], count: number, nextFraction: () => number): Row[] {
  const left = [...rows]
  const picked: Row[] = []
  while (picked.length < count && left.length > 0) picked.push(...left.splice(Math.floor(nextFraction() * left.length), 1))
  return picked
}

/** Resolves to true with the first that does, otherwise to false. */
function isAnyTrue (results: ReadonlyArray<Promise<boolean>>): Promise<boolean> {
  return new Promise(resolve => {
    for (const result of results) void result.then(isTrue => { if (isTrue) resolve(true) })
    void Promise.all(results).then(() => resolve(false))
  })
}

/** Creates the watch of a host that reaches its endpoints. */
export function createPathWatch (opts: PathWatchOptions): PathWatch {
  let state: PathState = PathState.OPEN
  let held: HeldReport[] = []
  /** Endpoints with trouble since this host last heard from any, with the time of the first. */
  const troubled = new Map<EndpointId, MonotonicMs>()
  let probeAt = Infinity
  let probing = false

  function setState (next: PathState): void {
    if (state === next) return
    state = next
    if (next === PathState.CUT_OFF) held = []
    opts.onChange(next, [...troubled.keys()])
  }

  /** Drops the trouble up to then, for which this host's paths are not the cause, and reports it. */
  function recordReached (until: MonotonicMs): void {
    for (const [endpoint, at] of troubled) if (at <= until) troubled.delete(endpoint)
    const due = held.filter(({ at }) => at <= until)
    held = held.filter(({ at }) => at > until)
    for (const { report } of due) report()
  }

  function recordHeard (): void {
    if (state === PathState.OPEN && troubled.size === 0 && held.length === 0) return
    const now = opts.getNow()
    // Bytes that were on their way when the trouble began say nothing of the path.
    const hasRecent = [...troubled.values()].some(at => now - at < CONFIRM_DELAY_MS)
    if (state !== PathState.OPEN && hasRecent) return
    recordReached(now - CONFIRM_DELAY_MS)
    setState(PathState.OPEN)
  }

  /** Endpoints without trouble first: those that have crashed would say nothing of the path. */
  function chooseTargets (): ProbeTarget[] {
    const targets = opts.listTargets()
    const sound = pickRandom(targets.filter(({ endpoint }) => !troubled.has(endpoint)), PROBES_PER_ROUND, opts.nextFraction)
    return [...sound, ...pickRandom(targets.filter(({ endpoint }) => troubled.has(endpoint)), PROBES_PER_ROUND - sound.length, opts.nextFraction)]
  }

  async function runProbes (): Promise<void> {
    const startedAt = opts.getNow()
    probing = true
    const isReached = await isAnyTrue(chooseTargets().map(opts.probe))
    probing = false
    probeAt = opts.getNow() + PROBE_INTERVAL_MS
    if (isReached) {
      recordReached(startedAt)
      setState(PathState.OPEN)
    } else if (troubled.size > 0) setState(PathState.CUT_OFF)
  }

  return {
    isCutOff: () => state !== PathState.OPEN,
    isCutOffConfirmed: () => state === PathState.CUT_OFF,
    recordHeard,
    recordTrouble: (endpoint, report) => {
      const now = opts.getNow()
      if (opts.listTargets().length <= 1) {
        report()
        return
      }
      if (state !== PathState.CUT_OFF) held = [...held.slice(1 - MAX_HELD_REPORTS), { at: now, report }]
      if (!troubled.has(endpoint)) troubled.set(endpoint, now)
      if (state !== PathState.OPEN || troubled.size < CUT_OFF_ENDPOINTS) return
      setState(PathState.SUSPECTED)
      probeAt = now
    },
    check: () => {
      const now = opts.getNow()
      const oldest = Math.min(...troubled.values())
      const isDue = state === PathState.OPEN ? now - oldest >= PROBE_DELAY_MS : now >= probeAt
      if (isDue && !probing) void runProbes()
    }
  }
}
