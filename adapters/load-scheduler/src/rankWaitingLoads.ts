/**
 * Order of adapter loads while more adapters are asked for than engines have free slots, and which waiting requests to refuse.
 * Pattern: sustained overload, where first-come-first-served order would serve every request late. The leader of a fleet calls it
 * on each run.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** A request that waits for an adapter. */
export interface WaitingRequest {
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number
  /** When its adapter must be loaded for its answer to be on time. */
  readonly onTimeUntil: MonotonicMs
  /** It was refused before, so its answer is late already by the time at which it was first sent. */
  readonly isReturning: boolean
}

/** The standing of an adapter's waiting requests. All of them share one load. */
export interface LoadStanding {
  readonly priority: number
  /** Requests whose answer can still be on time. */
  readonly onTime: number
  /** Time left until the first of them is late; `Infinity` if none can be on time. */
  readonly slackMs: DurationMs
  /** When the first of the requests arrived. */
  readonly since: MonotonicMs
}

/** Whether a request has waited so long that its answer would be late if its adapter were loaded from now on. */
export function isTooLate ({ onTimeUntil }: WaitingRequest, now: MonotonicMs, loadMs: DurationMs): boolean {
  return now + loadMs > onTimeUntil
}

export function computeStanding (opts: { readonly waiting: readonly WaitingRequest[], readonly since: MonotonicMs, readonly now: MonotonicMs, readonly loadMs: DurationMs }): LoadStanding {
  const { waiting, since, now, loadMs } = opts
  let priority = Infinity
  let onTime = 0
  let slackMs = Infinity
  for (const request of waiting) {
    priority = Math.min(priority, request.priority)
    if (request.isReturning || isTooLate(request, now, loadMs)) continue
    onTime += 1
    slackMs = Math.min(slackMs, request.onTimeUntil - loadMs - now)
  }
  return { priority, onTime, slackMs, since }
}

/**
 * Compares two loads; negative if `a` goes first: by priority, then those that serve requests on time, the most of them with one
 * load, the least time left; the rest by age.
 */
export function compareStandings (a: LoadStanding, b: LoadStanding): number {
  if (a.priority !== b.priority) return a.priority - b.priority
  if (a.onTime !== b.onTime) return b.onTime - a.onTime
  return a.onTime > 0 ? a.slackMs - b.slackMs : a.since - b.since
}

/** Backlog of loads, by which waiting requests are refused. */
export interface LoadBacklog {
  /** Adapters with requests that can be on time. */
  readonly onTimeLoads: number
  readonly loads: number
  /** Loads begun per second, averaged over the last seconds. */
  readonly loadsPerSecond: number
}

/** A backlog of requests that can be on time counts as overload if it takes longer than this to load for all of them. */
const OVERLOAD_BACKLOG_MS = 200
/** Bounds of the time after which a refused request is worth repeating. */
const MIN_RETRY_MS = 300
const MAX_RETRY_MS = 2_000
/** Refused requests return spread over this fraction of the time. */
const RETRY_SPREAD = 0.5
const MS_PER_SECOND = 1_000

function computeClearMs (loads: number, loadsPerSecond: number): DurationMs {
  return loads === 0 ? 0 : loads * MS_PER_SECOND / Math.max(loadsPerSecond, 1)
}

/** Whether requests that can no longer be on time are refused, since each load for them makes another one late. */
export function isOverloaded ({ onTimeLoads, loadsPerSecond }: LoadBacklog): boolean {
  return computeClearMs(onTimeLoads, loadsPerSecond) > OVERLOAD_BACKLOG_MS
}

/** Computes when a refused request should be repeated: when the backlog has been loaded, spread by `fraction` (0 to 1). */
export function computeRetryMs ({ loads, loadsPerSecond }: LoadBacklog, fraction: number): DurationMs {
  const clearMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, computeClearMs(loads, loadsPerSecond)))
  return clearMs * (1 + RETRY_SPREAD * fraction)
}
