/**
 * Attempts in progress of one driver, by attempt ID, so that it can cancel them for the host core, and pause and resume them
 * for slow callers. The engine driver and the service driver each keep one.
 */
import type { AttemptId } from '@catkinferry/core.types'
import type { HttpCall } from './httpCall.ts'

export interface AttemptTable {
  readonly put: (attemptId: AttemptId, call: HttpCall) => void
  /** Called by the driver when an attempt has completed or failed. */
  readonly remove: (attemptId: AttemptId) => void
  /** Cancels an attempt, which then emits no more events. Returns whether it was in progress. */
  readonly cancel: (attemptId: AttemptId) => boolean
  /** Pauses or resumes reading the endpoint's response. Does nothing if the attempt is not in progress. */
  readonly setPaused: (attemptId: AttemptId, paused: boolean) => void
  readonly getSize: () => number
}

export function createAttemptTable (): AttemptTable {
  const calls = new Map<AttemptId, HttpCall>()
  return {
    put: (attemptId, call) => { calls.set(attemptId, call) },
    remove: attemptId => { calls.delete(attemptId) },
    cancel: attemptId => {
      calls.get(attemptId)?.cancel()
      return calls.delete(attemptId)
    },
    setPaused: (attemptId, paused) => {
      const call = calls.get(attemptId)
      if (paused) call?.pause()
      else call?.resume()
    },
    getSize: () => calls.size
  }
}
