/**
 * Evidence against traits of requests: the crashes of endpoints, and the requests that each of them interrupted. A crash
 * interrupts many requests, but only one of them may have caused it. The trait that causes crashes is among the interrupted
 * requests of each, and no request with it is ever answered. Crashes that a known cause explains accuse no other trait.
 */
import { isWholeRequest } from '@catkinferry/core.types'
import type { HostId, MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import type { CrashReport } from '@catkinferry/wire.messages'

const RETENTION_MS = 300_000
/** Limit on the crashes remembered; the oldest is dropped first. */
const MAX_CRASHES = 512
/** Where the instance of an endpoint is not known, reports on crashes further apart are taken for those of two instances. */
const SAME_CRASH_MS = 2_000

/** What a crash counts against a trait whose response had begun, and against one whose request only waited at the endpoint. */
const BEGUN_WEIGHT = 1
const WAITING_WEIGHT = 0.5
/** Factor where only one connection broke: the endpoint may have cut a single response and gone on working. */
const UNCONFIRMED_FACTOR = 0.5
const MIN_BROKEN_OF_CRASH = 2

interface Crash {
  readonly instance: string
  at: MonotonicMs
  /** The latest of each number, by host. */
  readonly reports: Map<string, CrashReport>
  /** Number of broken connections. */
  broken: number
  /** Traits of requests whose response had begun, and of those that waited, each with its position among the traits. */
  begun: ReadonlyMap<RequestTrait, number>
  waiting: ReadonlyMap<RequestTrait, number>
}

export interface Suspect {
  readonly trait: RequestTrait
  /** Sum over the crashes since the trait was last answered, but for those that a quarantined trait explains. */
  readonly weight: number
  /** The same with the crashes that quarantined requests with this trait explain. */
  readonly totalWeight: number
  readonly crashes: number
  /** Position among the traits of a request; later ones are in fewer requests. */
  readonly position: number
}

export interface CrashEvidence {
  readonly addReport: (from: HostId, report: CrashReport, now: MonotonicMs) => void
  /** Records that a request with the trait was answered by an endpoint that went on working. */
  readonly addSound: (trait: RequestTrait, at: MonotonicMs) => void
  readonly wasSound: (trait: RequestTrait) => boolean
  /** Traits with any weight, the most suspect first. */
  readonly rank: (quarantined: ReadonlySet<RequestTrait>, now: MonotonicMs) => readonly Suspect[]
  /** Whether another trait can have caused all remembered crashes that this one can have caused, and more besides. */
  readonly isExplained: (trait: RequestTrait, by: RequestTrait) => boolean
  readonly isEmpty: () => boolean
  readonly clear: () => void
}

function listPositions (requests: ReadonlyArray<readonly RequestTrait[]>): Map<RequestTrait, number> {
  return new Map(requests.flatMap(traits => traits.map((trait, position) => [trait, position] as const)))
}

/** Whether a trait can have caused a crash: its response had begun, or none had and a request with it waited. */
function isPossibleCause ({ begun, waiting }: Crash, trait: RequestTrait): boolean {
  return (begun.size > 0 ? begun : waiting).has(trait)
}

/** All traits of the interrupted requests that have one of these. */
function listCompanions ({ reports }: Crash, traits: readonly RequestTrait[]): ReadonlySet<RequestTrait> {
  const requests = traits.length === 0 ? [] : [...reports.values()].flatMap(({ begun, waiting }) => [...begun, ...waiting])
  return new Set(requests.filter(request => request.some(trait => traits.includes(trait))).flat())
}

function computeWeight ({ broken, begun }: Crash, trait: RequestTrait): number {
  // One and the same request is rarely interrupted again by chance, so it takes neither a head of a response nor a second broken connection.
  if (isWholeRequest(trait)) return begun.has(trait) || begun.size === 0 ? BEGUN_WEIGHT : WAITING_WEIGHT
  return (begun.has(trait) ? BEGUN_WEIGHT : WAITING_WEIGHT) * (broken >= MIN_BROKEN_OF_CRASH ? 1 : UNCONFIRMED_FACTOR)
}

/** Creates evidence without crashes. */
export function createCrashEvidence (): CrashEvidence {
  let crashes: Crash[] = []
  const soundAt = new Map<RequestTrait, MonotonicMs>()

  function dropOld (now: MonotonicMs): void {
    crashes = crashes.filter(({ at }) => now - at <= RETENTION_MS).slice(-MAX_CRASHES)
    for (const [trait, at] of soundAt) if (now - at > RETENTION_MS) soundAt.delete(trait)
  }

  function findCrash ({ endpoint, bornAt }: CrashReport, at: MonotonicMs): Crash {
    const instance = `${endpoint}|${bornAt}`
    const isInstanceKnown = bornAt !== undefined
    const known = crashes.find(crash => crash.instance === instance && (isInstanceKnown || Math.abs(crash.at - at) <= SAME_CRASH_MS))
    if (known !== undefined) return known
    const crash: Crash = { instance, at, reports: new Map(), broken: 0, begun: new Map(), waiting: new Map() }
    crashes.push(crash)
    return crash
  }

  /** Whether another trait can have caused all crashes of this one, and more besides. */
  function isExplained (trait: RequestTrait, by: RequestTrait): boolean {
    const caused = crashes.filter(crash => isPossibleCause(crash, trait))
    return caused.length > 0 && caused.every(crash => isPossibleCause(crash, by)) && crashes.filter(crash => isPossibleCause(crash, by)).length > caused.length
  }

  /** Adds what one crash counts against each trait involved. */
  function addWeights (crash: Crash, quarantined: readonly RequestTrait[], suspects: Map<RequestTrait, Suspect>): void {
    const causes = quarantined.filter(trait => isPossibleCause(crash, trait))
    if (causes.some(cause => !isWholeRequest(cause))) return
    const companions = listCompanions(crash, causes)
    for (const [trait, position] of new Map([...crash.waiting, ...crash.begun])) {
      if (quarantined.includes(trait) || crash.at <= (soundAt.get(trait) ?? Number.NEGATIVE_INFINITY)) continue
      // A quarantined request explains the crash, so it counts only as one more that a part of this request may have caused.
      const isExplainedByRequest = causes.length > 0 && !isWholeRequest(trait)
      if (isExplainedByRequest && !companions.has(trait)) continue
      const weight = computeWeight(crash, trait)
      const known = suspects.get(trait) ?? { trait, weight: 0, totalWeight: 0, crashes: 0, position }
      suspects.set(trait, {
        trait,
        weight: known.weight + (isExplainedByRequest ? 0 : weight),
        totalWeight: known.totalWeight + weight,
        crashes: known.crashes + 1,
        position: Math.max(known.position, position)
      })
    }
  }

  return {
    addReport: (from, report, now) => {
      const at = now - report.agoMs
      const crash = findCrash(report, at)
      crash.at = Math.min(crash.at, at)
      crash.reports.set(`${from}|${report.number}`, report)
      const reports = [...crash.reports.values()]
      crash.broken = reports.reduce((sum, { broken }) => sum + broken, 0)
      crash.begun = listPositions(reports.flatMap(({ begun }) => begun))
      crash.waiting = listPositions(reports.flatMap(({ waiting }) => waiting))
    },
    addSound: (trait, at) => { soundAt.set(trait, Math.max(soundAt.get(trait) ?? at, at)) },
    wasSound: trait => soundAt.has(trait),
    rank: (quarantined, now) => {
      dropOld(now)
      const suspects = new Map<RequestTrait, Suspect>()
      for (const crash of crashes) addWeights(crash, [...quarantined], suspects)
      return [...suspects.values()].filter(({ weight }) => weight > 0).toSorted((left, right) => right.totalWeight - left.totalWeight || Number(soundAt.has(left.trait)) - Number(soundAt.has(right.trait)) || right.position - left.position)
    },
    isExplained,
    isEmpty: () => crashes.length === 0,
    clear: () => {
      crashes = []
      soundAt.clear()
    }
  }
}
