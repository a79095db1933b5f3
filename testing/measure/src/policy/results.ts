/** Records the outcome of each simulated request and computes the results of one policy. */
import type { ServiceClass } from '@catkinferry/core.types'
import type { Engine } from './engine.ts'
import type { Arrival } from './workload.ts'
import { WARM_UP_MS } from './workload.ts'

const ROUNDING_FACTOR = 1_000

export interface Outcome {
  readonly kind: 'done' | 'refused' | 'failed'
  readonly at: number
  readonly stallMs: number
}

export interface ClassResults {
  readonly requests: number
  readonly stalledShare: number
  readonly stallP50Ms: number
  readonly stallP99Ms: number
}

export interface PolicyResults {
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
  readonly classes: Readonly<Record<string, ClassResults>>
}

export interface Recorder {
  readonly recordOutcome: (arrival: Arrival, outcome: Outcome) => void
  readonly addCrossRegionBytes: (bytes: number) => void
  readonly summarise: (arrivals: readonly Arrival[], engines: readonly Engine[]) => PolicyResults
}

function roundToThousandths (value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR
}

function getQuantile (sorted: readonly number[], fraction: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0)
}

/** Shortest wait that counts as a load stall; a shorter one is message latency. */
const MIN_STALL_MS = 5

function describeClass (outcomes: readonly Outcome[]): ClassResults {
  const stalls = outcomes.filter(({ kind }) => kind !== 'refused').map(({ stallMs }) => stallMs).sort((a, b) => a - b)
  return {
    requests: outcomes.length,
    stalledShare: roundToThousandths(stalls.filter(ms => ms >= MIN_STALL_MS).length / Math.max(1, stalls.length)),
    stallP50Ms: getQuantile(stalls, 0.5),
    stallP99Ms: getQuantile(stalls, 0.99)
  }
}

export function createRecorder (): Recorder {
  const outcomes = new Map<string, Outcome>()
  let crossRegionBytes = 0
  return {
    recordOutcome: ({ requestId }, outcome) => { if (!outcomes.has(requestId)) outcomes.set(requestId, outcome) },
    addCrossRegionBytes: bytes => { crossRegionBytes += bytes },
    summarise: (arrivals, engines) => {
      const measured = arrivals.filter(({ at }) => at >= WARM_UP_MS)
      const rows = measured.map(arrival => ({ arrival, outcome: outcomes.get(arrival.requestId) ?? { kind: 'refused', at: Infinity, stallMs: arrival.deadlineMs } as const }))
      const urgent = rows.filter(({ arrival }) => arrival.serviceClass === 'urgent')
      const missed = urgent.filter(({ arrival, outcome }) => outcome.kind !== 'done' || outcome.at > arrival.at + arrival.deadlineMs)
      const all = rows.map(({ outcome }) => outcome)
      const total = (pick: (engine: Engine) => number): number => engines.reduce((sum, engine) => sum + pick(engine), 0)
      const byClass = (serviceClass: ServiceClass): ClassResults => describeClass(rows.filter(({ arrival }) => arrival.serviceClass === serviceClass).map(({ outcome }) => outcome))
      const capacity = total(({ stats, batchLimit }) => stats.busyMs * batchLimit)
      return {
        stallMsTotal: Math.round(all.reduce((sum, { stallMs }) => sum + stallMs, 0)),
        urgentStallP99Ms: byClass('urgent').stallP99Ms,
        batchFill: roundToThousandths(total(({ stats }) => stats.runningMs) / Math.max(1, capacity)),
        deadlineMissShare: roundToThousandths(missed.length / Math.max(1, urgent.length)),
        loads: total(({ stats }) => stats.loads),
        evictions: total(({ stats }) => stats.evictions),
        refusedShare: roundToThousandths(all.filter(({ kind }) => kind === 'refused').length / Math.max(1, all.length)),
        failedShare: roundToThousandths(all.filter(({ kind }) => kind === 'failed').length / Math.max(1, all.length)),
        stalledShare: describeClass(all).stalledShare,
        bytesBetweenRegions: Math.round(crossRegionBytes),
        evictedWhileRunning: total(({ stats }) => stats.evictedRunning),
        classes: { urgent: byClass('urgent'), standard: byClass('standard'), overnight: byClass('overnight') }
      }
    }
  }
}
