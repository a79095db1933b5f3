/**
 * Measures how much time has passed, from two clocks that each can miss some: the monotonic clock stands still while the
 * machine is suspended, and the wall clock may be set back. Whenever the wall clock gains on the monotonic clock, the gain
 * counts as time of a suspension. A wall clock that is set forward makes ages too large, never too small.
 */
import type { DurationMs, MonotonicMs, WallMs } from '@catkinferry/core.types'
import { CLOCK_JITTER_MS } from './constants.ts'

/** Both clocks of a host, read at about the same time. */
export interface ClockReading {
  readonly now: MonotonicMs
  readonly wallNow: WallMs
}

export interface Instant {
  /** Monotonic time plus the time of suspensions. */
  readonly elapsedMs: DurationMs
  readonly wallNow: WallMs
}

/** The larger of the differences on both clocks. */
export function computeAgeMs (from: Instant, to: Instant): DurationMs {
  return Math.max(to.elapsedMs - from.elapsedMs, to.wallNow - from.wallNow)
}

/** Returns a function that converts readings. A suspension is missed only if the wall clock is set back between the same two readings. */
export function createElapsedClock (): (reading: ClockReading) => Instant {
  let offset: number | undefined
  let suspendedMs = 0
  return ({ now, wallNow }) => {
    const gained = wallNow - now - (offset ?? wallNow - now)
    if (gained > CLOCK_JITTER_MS) suspendedMs += gained
    if (offset === undefined || Math.abs(gained) > CLOCK_JITTER_MS) offset = wallNow - now
    return { elapsedMs: now + suspendedMs, wallNow }
  }
}
