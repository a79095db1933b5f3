/**
 * Evidence against prompt parts: the crashes of engines, and the requests that each of them interrupted. A crash interrupts many
 * requests, but only one of them may have caused it. The part that causes crashes is among the interrupted requests of each, its
 * responses had just begun, and no request with it is ever answered. Crashes that a known cause explains accuse no other part.
 */
import type { HostId, MonotonicMs, PromptPart } from '@catkinferry/core.types'
import type { CrashReport } from '@catkinferry/wire.messages'

const RETENTION_MS = 300_000
/** Limit on the crashes remembered; the oldest is dropped first. */
const MAX_CRASHES = 512

/** What a crash counts against a part whose response had begun, and against one whose request only waited at the engine. */
const BEGUN_WEIGHT = 1
const WAITING_WEIGHT = 0.5
/** Factor where only one connection broke: the engine may have cut a single response and gone on working. */
const UNCONFIRMED_FACTOR = 0.5
const MIN_BROKEN_OF_CRASH = 2

interface Crash {
  at: MonotonicMs
  readonly reports: Map<HostId, CrashReport>
}

export interface Suspect {
  readonly part: PromptPart
  /** Sum over the unexplained crashes since the part was last answered. */
  readonly weight: number
  readonly crashes: number
  /** Position in the prompt; later parts are in fewer requests. */
  readonly position: number
}

export interface CrashEvidence {
  readonly addReport: (from: HostId, report: CrashReport, now: MonotonicMs) => void
  /** Records that a request with the part was answered by an engine that went on working. */
  readonly addSound: (part: PromptPart, at: MonotonicMs) => void
  readonly wasSound: (part: PromptPart) => boolean
  /** Parts with any weight, the most suspect first. */
  readonly rank: (quarantined: ReadonlySet<PromptPart>, now: MonotonicMs) => readonly Suspect[]
  /** Number of remembered crashes that a part can have caused, and how many of these `other` can have caused too. */
  readonly countShared: (part: PromptPart, other: PromptPart) => { readonly crashes: number, readonly shared: number }
  readonly isEmpty: () => boolean
  readonly clear: () => void
}

function listPrompts ({ reports }: Crash, sort: 'begun' | 'waiting'): ReadonlyArray<readonly PromptPart[]> {
  return [...reports.values()].flatMap(report => report[sort])
}

/** Whether a part can have caused a crash: its response had begun, or none had and a request with it waited. */
function isPossibleCause (crash: Crash, part: PromptPart): boolean {
  const begun = listPrompts(crash, 'begun')
  return (begun.length > 0 ? begun : listPrompts(crash, 'waiting')).some(parts => parts.includes(part))
}

/** Creates evidence without crashes. */
export function createCrashEvidence (): CrashEvidence {
  const crashes = new Map<string, Crash>()
  const soundAt = new Map<PromptPart, MonotonicMs>()

  function dropOld (now: MonotonicMs): void {
    for (const [key, { at }] of crashes) if (now - at > RETENTION_MS || crashes.size > MAX_CRASHES) crashes.delete(key)
    for (const [part, at] of soundAt) if (now - at > RETENTION_MS) soundAt.delete(part)
  }

  /** Adds what one crash counts against each part involved. */
  function addWeights (crash: Crash, suspects: Map<PromptPart, Suspect>): void {
    const broken = [...crash.reports.values()].reduce((sum, report) => sum + report.broken, 0)
    const factor = broken >= MIN_BROKEN_OF_CRASH ? 1 : UNCONFIRMED_FACTOR
    const weights = new Map<PromptPart, { readonly weight: number, readonly position: number }>()
    const collect = (prompts: ReadonlyArray<readonly PromptPart[]>, weight: number): void => {
      for (const parts of prompts) for (const [position, part] of parts.entries()) weights.set(part, { weight: weight * factor, position })
    }
    collect(listPrompts(crash, 'waiting'), WAITING_WEIGHT)
    collect(listPrompts(crash, 'begun'), BEGUN_WEIGHT)
    for (const [part, { weight, position }] of weights) {
      if (crash.at <= (soundAt.get(part) ?? Number.NEGATIVE_INFINITY)) continue
      const known = suspects.get(part)
      suspects.set(part, { part, weight: (known?.weight ?? 0) + weight, crashes: (known?.crashes ?? 0) + 1, position: Math.max(known?.position ?? 0, position) })
    }
  }

  return {
    addReport: (from, report, now) => {
      const key = `${report.endpoint}|${report.bornAt}`
      const crash = crashes.get(key) ?? { at: now - report.agoMs, reports: new Map() }
      crash.at = Math.min(crash.at, now - report.agoMs)
      crash.reports.set(from, report)
      crashes.set(key, crash)
    },
    addSound: (part, at) => { soundAt.set(part, Math.max(soundAt.get(part) ?? at, at)) },
    wasSound: part => soundAt.has(part),
    rank: (quarantined, now) => {
      dropOld(now)
      const suspects = new Map<PromptPart, Suspect>()
      for (const crash of crashes.values()) if (![...quarantined].some(part => isPossibleCause(crash, part))) addWeights(crash, suspects)
      return [...suspects.values()].toSorted((left, right) => right.weight - left.weight || Number(soundAt.has(left.part)) - Number(soundAt.has(right.part)) || right.position - left.position)
    },
    countShared: (part, other) => {
      const caused = [...crashes.values()].filter(crash => isPossibleCause(crash, part))
      return { crashes: caused.length, shared: caused.filter(crash => isPossibleCause(crash, other)).length }
    },
    isEmpty: () => crashes.size === 0,
    clear: () => {
      crashes.clear()
      soundAt.clear()
    }
  }
}
