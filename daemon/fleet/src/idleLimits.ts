/** How long idle connections stay open when configurations change the limit: as long as any limit allows that their callers may know. */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'

/** A caller may go by a limit for this long after another has replaced it on this host: configurations are not in force everywhere at once. */
export const LIMIT_OVERLAP_MS = 5_000
/** Former limits that are remembered; the oldest of more are dropped. */
const MAX_FORMER = 32

export interface LimitHistory {
  readonly set: (limitMs: DurationMs) => void
  /** The largest limit that was in force since shortly before that time. */
  readonly find: (since: MonotonicMs) => DurationMs
}

export function createLimitHistory (opts: { readonly getNow: () => MonotonicMs, readonly initialMs: DurationMs }): LimitHistory {
  let currentMs = opts.initialMs
  let former: Array<{ readonly limitMs: DurationMs, readonly until: MonotonicMs }> = []
  return {
    set: limitMs => {
      if (limitMs === currentMs) return
      former = [...former.slice(1 - MAX_FORMER), { limitMs: currentMs, until: opts.getNow() }]
      currentMs = limitMs
    },
    find: since => Math.max(currentMs, ...former.filter(({ until }) => until > since - LIMIT_OVERLAP_MS).map(({ limitMs }) => limitMs))
  }
}
