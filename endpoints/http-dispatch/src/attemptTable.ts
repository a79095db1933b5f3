/** The attempts that a driver has under way. */
import type { AttemptId } from '@catkinferry/core.types'
import type { HttpCall } from './httpCall.ts'

export interface AttemptTable {
  readonly put: (attemptId: AttemptId, call: HttpCall) => void
  /** Forgets an attempt that has ended. */
  readonly remove: (attemptId: AttemptId) => void
  /** True when the attempt was under way; it gives no more events. */
  readonly cancel: (attemptId: AttemptId) => boolean
  readonly setPaused: (attemptId: AttemptId, paused: boolean) => void
  readonly getSize: () => number
}

/** Creates an empty table. */
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
