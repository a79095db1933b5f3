/**
 * Watches how far each response gets, and reports to the directory which requests were in flight as an endpoint broke its
 * connections and which were answered. From these reports the leader finds what crashes endpoints.
 */
import type { MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import { ResponseProgress } from '@catkinferry/fleet.directory'
import type { AttemptEnd } from './attempt.ts'
import { SOUND_RESPONSE_MS } from './constants.ts'
import type { Target } from './exchange.ts'
import type { RelayOptions } from './relayOptions.ts'

const FIRST_UNSUCCESSFUL_STATUS = 300
/** A response with fewer chunks is not taken for sound before it is complete. */
const MIN_SOUND_CHUNKS = 2

export interface ProgressWatch {
  readonly recordHead: (now: MonotonicMs) => void
  /** Called for the head too, before `recordHead`. */
  readonly recordChunk: (now: MonotonicMs) => void
  readonly get: () => ResponseProgress
}

/** Watches how far a response gets. Reports the traits of its request as sound once it has gone on for a while. */
export function createResponseProgress (directory: RelayOptions['directory'], traits: readonly RequestTrait[]): ProgressWatch {
  let headAt: MonotonicMs | undefined
  let chunks = 0
  let progress: ResponseProgress = ResponseProgress.WAITING
  return {
    recordHead: now => {
      headAt = now
      progress = ResponseProgress.BEGUN
    },
    recordChunk: now => {
      if (headAt === undefined || progress === ResponseProgress.SOUND) return
      chunks += 1
      if (chunks < MIN_SOUND_CHUNKS || now - headAt < SOUND_RESPONSE_MS) return
      progress = ResponseProgress.SOUND
      directory.recordSound(traits, now)
    },
    get: () => progress
  }
}

export interface EndedAttempt {
  readonly relay: Pick<RelayOptions, 'directory'>
  readonly target: Target
  readonly traits: readonly RequestTrait[]
  readonly progress: ResponseProgress
  readonly end: AttemptEnd
  readonly endedAt: MonotonicMs
}

/** Records whether the endpoint seems to have crashed on the request, or has answered it. */
export function recordCrashSigns ({ relay: { directory }, target: { endpoint, bornAt }, traits, progress, end, endedAt: now }: EndedAttempt): void {
  if (end.kind === 'delivered' && end.status < FIRST_UNSUCCESSFUL_STATUS) directory.recordSound(traits, now)
  else if (end.kind === 'lost' && (end.isBroken === true || end.isProcessEnded === true)) directory.recordBroken({ endpoint, bornAt, traits, progress }, now)
  else if (end.kind === 'notRun' && !end.isAnswered) directory.recordUnreachable({ endpoint, bornAt }, now)
}
