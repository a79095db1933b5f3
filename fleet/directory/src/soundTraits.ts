/** Remembers when requests with each trait were last answered by an endpoint that went on working, and reports the traits that the leader watches. */
import type { HostId, MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'

/** Limit on the traits remembered; the one that was answered longest ago is dropped first. */
const MAX_TRAITS = 5_000
/** A trait is no longer watched when the leader has not named it for this long. */
const WATCH_TTL_MS = 6_000
const MIN_REPORT_INTERVAL_MS = 100

export interface SoundTraits {
  readonly record: (traits: readonly RequestTrait[], now: MonotonicMs) => void
  /** Sets the traits that the leader watches. */
  readonly watch: (traits: readonly RequestTrait[], now: MonotonicMs) => void
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
}

/** Creates an empty memory. */
export function createSoundTraits (): SoundTraits {
  const answeredAt = new Map<RequestTrait, MonotonicMs>()
  const watchedUntil = new Map<RequestTrait, MonotonicMs>()
  const changed = new Set<RequestTrait>()
  let sentAt = Number.NEGATIVE_INFINITY

  return {
    record: (traits, now) => {
      for (const trait of traits) {
        answeredAt.delete(trait)
        answeredAt.set(trait, now)
        if ((watchedUntil.get(trait) ?? 0) > now) changed.add(trait)
      }
      for (const trait of answeredAt.keys()) {
        if (answeredAt.size <= MAX_TRAITS) break
        answeredAt.delete(trait)
      }
    },
    watch: (traits, now) => {
      for (const [trait, until] of watchedUntil) if (until <= now) watchedUntil.delete(trait)
      for (const trait of traits) {
        watchedUntil.set(trait, now + WATCH_TTL_MS)
        if (answeredAt.has(trait)) changed.add(trait)
      }
    },
    run: (context, leader) => {
      const { now } = context
      if (changed.size === 0 || now - sentAt < MIN_REPORT_INTERVAL_MS) return
      sentAt = now
      if (leader === undefined) return
      const traits = [...changed].map(trait => [trait, now - (answeredAt.get(trait) ?? now)] as const)
      changed.clear()
      context.send(leader, { kind: 'fleet.soundParts', parts: traits })
    },
    getNextAt: () => changed.size === 0 ? Infinity : sentAt + MIN_REPORT_INTERVAL_MS
  }
}
