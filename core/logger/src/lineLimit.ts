/** Limits the rate of log lines of a kind that others can cause, such as callers. */

export interface LineLimitOptions {
  readonly getNow: () => number
  /** Lines in each interval. */
  readonly maxLines: number
  readonly intervalMs: number
}

export interface LineLimit {
  /** Takes one line: the number of those refused since the last one that was taken, or undefined if this one is refused. */
  readonly tryTake: () => number | undefined
}

export function createLineLimit ({ getNow, maxLines, intervalMs }: LineLimitOptions): LineLimit {
  let startedAt = Number.NEGATIVE_INFINITY
  let taken = 0
  let refused = 0
  return {
    tryTake: () => {
      const now = getNow()
      if (now - startedAt >= intervalMs) {
        startedAt = now
        taken = 0
      }
      if (taken >= maxLines) {
        refused += 1
        return undefined
      }
      taken += 1
      const unlogged = refused
      refused = 0
      return unlogged
    }
  }
}
