/** Which host this one is subscribed to: one before it in its zone, else a voter. */
import type { HostId, MonotonicMs, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { CUT_OFF_MS, FAN_OUT, FIRST_ANSWER_MS, RENEW_MS, SILENCE_MS, TRIAL_MS } from './constants.ts'
import type { Core } from './core.ts'
import { isCutOff, sendSettings } from './core.ts'

export interface Upstream {
  readonly getHost: () => HostId | undefined
  /** Subscribes to a host. */
  readonly setHost: (host: HostId, context: RunContext) => void
  /** Leaves the upstream on a voter that follows the log, finds one on any other host that has none. */
  readonly update: (context: RunContext) => void
  /** A host answered; `majorityAgeMs` as it says. */
  readonly noteHeard: (from: HostId, majorityAgeMs: number | undefined, context: RunContext) => void
  /** The upstream cannot be reached: goes to the next candidate at once. */
  readonly noteLost: (host: HostId, context: RunContext) => void
  readonly checkSilence: (context: RunContext) => void
  readonly renew: (context: RunContext) => void
  /** Asks a host that would be better than the upstream. */
  readonly tryBetter: (context: RunContext) => void
}

/** Hosts of one zone in the order in which they are relays. */
function compareRank (a: PeerRow, b: PeerRow): number {
  if (a.voter !== b.voter) return a.voter ? -1 : 1
  return a.host < b.host ? -1 : 1
}

/** Hosts of lower rank: first those above in a tree of bounded fan-out, then the others. */
function listBefore (zone: readonly PeerRow[], own: number): PeerRow[] {
  const above: PeerRow[] = []
  for (let rank = own; rank > 0;) {
    rank = Math.floor((rank - 1) / FAN_OUT)
    above.push(zone[rank]!)
  }
  return [...above, ...zone.slice(0, Math.max(0, own)).filter(peer => !above.includes(peer))]
}

/** Candidates for the upstream of a host, best first. `spread` turns the order of equally near voters. */
export function listCandidates (core: Core, spread: number): HostId[] {
  const { self } = core
  const peers = [...core.peers.values()]
  const zone = peers.filter(peer => peer.zone === self.zone).sort(compareRank)
  const before = listBefore(zone, zone.findIndex(peer => peer.host === self.host))
  const voters = peers.filter(peer => peer.voter && peer.host !== self.host && !before.includes(peer)).sort(compareRank)
  const turned = voters.map((_, index) => voters[(index + spread) % voters.length]!)
  const near = turned.filter(peer => peer.region === self.region)
  const far = turned.filter(peer => peer.region !== self.region)
  return [...before, ...near, ...far].map(peer => peer.host)
}

const MAX_SPREAD = 2 ** 20

/** Creates the upstream of a host; `onChange` is called when it is another host. */
export function createUpstream (core: Core, onChange: (context: RunContext) => void): Upstream {
  const { due } = core
  const spread = core.random.nextInt(0, MAX_SPREAD)
  let host: HostId | undefined
  let askedAt: MonotonicMs = 0
  let heardAt: MonotonicMs | undefined
  let trial: HostId | undefined
  let trials = 0

  function ask (to: HostId, context: RunContext): void {
    sendSettings(core, to, { kind: 'settings.ask', after: core.inForce.getRevision() }, context)
  }

  function leave (context: RunContext): void {
    if (host !== undefined) sendSettings(core, host, { kind: 'settings.leave' }, context)
    host = undefined
    for (const task of ['silence', 'renew', 'trial'] as const) due.clear(task)
  }

  function setHost (next: HostId, context: RunContext): void {
    if (host !== next) leave(context)
    host = next
    askedAt = context.now
    heardAt = undefined
    trial = undefined
    ask(next, context)
    due.set('silence', context.now + FIRST_ANSWER_MS)
    due.set('renew', context.now + RENEW_MS)
    due.set('trial', context.now + TRIAL_MS)
    onChange(context)
  }

  function setNext (context: RunContext): void {
    const candidates = listCandidates(core, spread)
    const next = candidates[(host === undefined ? 0 : candidates.indexOf(host) + 1) % candidates.length]
    if (next !== undefined) setHost(next, context)
  }

  function chooseTrial (): HostId | undefined {
    const candidates = listCandidates(core, spread)
    if (!isCutOff(core)) return candidates[0] === host ? undefined : candidates[0]
    const others = candidates.filter(candidate => candidate !== host)
    return others[trials++ % Math.max(1, others.length)]
  }

  return {
    getHost: () => host,
    setHost,
    update: context => {
      if (core.isSource()) {
        if (host !== undefined) leave(context)
      } else if (host === undefined) {
        setNext(context)
      }
    },
    noteHeard: (from, majorityAgeMs, context) => {
      if (from === host) heardAt = context.now
      if (from !== trial || from === host) return
      if ((majorityAgeMs ?? Infinity) <= CUT_OFF_MS) setHost(from, context)
    },
    noteLost: (lost, context) => {
      if (lost === host) setNext(context)
    },
    checkSilence: context => {
      const deadline = heardAt === undefined ? askedAt + FIRST_ANSWER_MS : heardAt + SILENCE_MS
      if (context.now >= deadline) setNext(context)
      else due.set('silence', deadline)
    },
    renew: context => {
      if (host === undefined) return
      // Each ask for a part renews the subscription; another ask would begin again.
      if (!core.transfer.isActive()) ask(host, context)
      due.set('renew', context.now + RENEW_MS)
    },
    tryBetter: context => {
      if (trial !== undefined && trial !== host) sendSettings(core, trial, { kind: 'settings.leave' }, context)
      trial = core.transfer.isActive() ? undefined : chooseTrial()
      if (trial !== undefined) ask(trial, context)
      due.set('trial', context.now + TRIAL_MS)
    }
  }
}
