/**
 * Logs the decisions that the requests system makes for each request, and their reasons. Operators read them on request.
 * Keeps only the newest requests, in memory.
 */
import type { MonotonicMs, RequestId, WallMs } from '@catkinferry/core.types'

const MAX_REQUESTS = 4_096
const MAX_DECISIONS_PER_REQUEST = 48

export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>

/** One decision. `sinceArrivalMs` is the time since the request arrived at this host. */
export interface Decision {
  readonly sinceArrivalMs: number
  readonly step: string
  readonly reason: string
  readonly fields?: DecisionFields
}

export interface RequestExplanation {
  readonly requestId: RequestId
  readonly arrivedAtWall: WallMs
  readonly decisions: readonly Decision[]
  /** Number of decisions left out because the request had too many. */
  readonly omitted: number
}

export interface DecisionLog {
  readonly begin: (requestId: RequestId, now: MonotonicMs, wallNow: WallMs) => void
  /** Adds a decision; ignored if the request is no longer kept. */
  readonly add: (requestId: RequestId, now: MonotonicMs, step: string, reason: string, fields?: DecisionFields) => void
  readonly explain: (requestId: RequestId) => RequestExplanation | undefined
  readonly getSize: () => number
}

interface Entry {
  readonly arrivedAt: MonotonicMs
  readonly arrivedAtWall: WallMs
  readonly decisions: Decision[]
  omitted: number
}

/** Creates an empty log for `maxRequests` requests. */
export function createDecisionLog (opts: { readonly maxRequests?: number } = {}): DecisionLog {
  const maxRequests = opts.maxRequests ?? MAX_REQUESTS
  const entries = new Map<RequestId, Entry>()

  function dropOldest (): void {
    const [oldest] = entries.keys()
    if (oldest !== undefined) entries.delete(oldest)
  }

  return {
    begin: (requestId, now, wallNow) => {
      if (entries.size >= maxRequests) dropOldest()
      entries.set(requestId, { arrivedAt: now, arrivedAtWall: wallNow, decisions: [], omitted: 0 })
    },
    add: (requestId, now, step, reason, fields) => {
      const entry = entries.get(requestId)
      if (entry === undefined) return
      if (entry.decisions.length >= MAX_DECISIONS_PER_REQUEST) {
        entry.omitted += 1
        return
      }
      entry.decisions.push({ sinceArrivalMs: now - entry.arrivedAt, step, reason, fields })
    },
    explain: requestId => {
      const entry = entries.get(requestId)
      if (entry === undefined) return undefined
      const { arrivedAtWall, decisions, omitted } = entry
      return { requestId, arrivedAtWall, decisions: [...decisions], omitted }
    },
    getSize: () => entries.size
  }
}
