/** What became of each request, and the figures of one row. */
import type { ServiceClass } from '@catkinferry/core.types'
import type { Engine } from './engine.ts'
import type { Arrival } from './workload.ts'
import { WARM_UP_MS } from './workload.ts'

const DECIMALS = 1_000

export interface Outcome {
  readonly kind: 'done' | 'refused' | 'failed'
  readonly at: number
  readonly stallMs: number
}

export interface ClassFigures {
  readonly requests: number
  readonly stalledShare: number
  readonly stallP50Ms: number
  readonly stallP99Ms: number
}

export interface RowFigures {
  readonly stallMsTotal: number
  readonly urgentStallP99Ms: number
  readonly batchFill: number
  readonly deadlineMissShare: number
  readonly loads: number
  readonly evictions: number
  readonly refusedShare: number
  readonly failedShare: number
  readonly stalledShare: number
  readonly bytesBetweenRegions: number
  readonly evictedWhileRunning: number
  readonly classes: Readonly<Record<string, ClassFigures>>
}

export interface Recorder {
  readonly end: (arrival: Arrival, outcome: Outcome) => void
  readonly addRegionBytes: (bytes: number) => void
  readonly summarise: (arrivals: readonly Arrival[], engines: readonly Engine[]) => RowFigures
}

function round (value: number): number {
  return Math.round(value * DECIMALS) / DECIMALS
}

function getQuantile (sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0)
}

/** Stalls below this are the time that messages take. */
const STALLED_FROM_MS = 5

function describeClass (outcomes: readonly Outcome[]): ClassFigures {
  const stalls = outcomes.filter(({ kind }) => kind !== 'refused').map(({ stallMs }) => stallMs).sort((a, b) => a - b)
  return {
    requests: outcomes.length,
    stalledShare: round(stalls.filter(ms => ms >= STALLED_FROM_MS).length / Math.max(1, stalls.length)),
    stallP50Ms: getQuantile(stalls, 0.5),
    stallP99Ms: getQuantile(stalls, 0.99)
  }
}

/** Creates an empty record. */
export function createRecorder (): Recorder {
  const outcomes = new Map<string, Outcome>()
  let regionBytes = 0
  return {
    end: ({ requestId }, outcome) => { if (!outcomes.has(requestId)) outcomes.set(requestId, outcome) },
    addRegionBytes: bytes => { regionBytes += bytes },
    summarise: (arrivals, engines) => {
      const measured = arrivals.filter(({ at }) => at >= WARM_UP_MS)
      const rows = measured.map(arrival => ({ arrival, outcome: outcomes.get(arrival.requestId) ?? { kind: 'refused', at: Infinity, stallMs: arrival.deadlineMs } as const }))
      const urgent = rows.filter(({ arrival }) => arrival.serviceClass === 'urgent')
      const missed = urgent.filter(({ arrival, outcome }) => outcome.kind !== 'done' || outcome.at > arrival.at + arrival.deadlineMs)
      const all = rows.map(({ outcome }) => outcome)
      const total = (pick: (engine: Engine) => number): number => engines.reduce((sum, engine) => sum + pick(engine), 0)
      const byClass = (serviceClass: ServiceClass): ClassFigures => describeClass(rows.filter(({ arrival }) => arrival.serviceClass === serviceClass).map(({ outcome }) => outcome))
      const capacity = total(({ stats, batchLimit }) => stats.busyMs * batchLimit)
      return {
        stallMsTotal: Math.round(all.reduce((sum, { stallMs }) => sum + stallMs, 0)),
        urgentStallP99Ms: byClass('urgent').stallP99Ms,
        batchFill: round(total(({ stats }) => stats.runningMs) / Math.max(1, capacity)),
        deadlineMissShare: round(missed.length / Math.max(1, urgent.length)),
        loads: total(({ stats }) => stats.loads),
        evictions: total(({ stats }) => stats.evictions),
        refusedShare: round(all.filter(({ kind }) => kind === 'refused').length / Math.max(1, all.length)),
        failedShare: round(all.filter(({ kind }) => kind === 'failed').length / Math.max(1, all.length)),
        stalledShare: describeClass(all).stalledShare,
        bytesBetweenRegions: Math.round(regionBytes),
        evictedWhileRunning: total(({ stats }) => stats.evictedRunning),
        classes: { urgent: byClass('urgent'), standard: byClass('standard'), overnight: byClass('overnight') }
      }
    }
  }
}
