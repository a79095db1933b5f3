/** Tracks which driver executes each attempt and which attempts belong to a request. */
import type { AttemptId, RequestId } from '@catkinferry/core.types'
import type { AttemptStart } from '@catkinferry/host.events'

/** The part of a driver that attempts need. */
export interface AttemptDriver {
  readonly startAttempt: (start: AttemptStart) => void
  readonly cancelAttempt: (attemptId: AttemptId) => void
  readonly setAttemptPaused: (attemptId: AttemptId, paused: boolean) => void
}

export interface AttemptRegister {
  readonly start: (start: AttemptStart) => void
  readonly cancel: (attemptId: AttemptId) => void
  /** Removes an attempt that has ended. */
  readonly remove: (attemptId: AttemptId) => void
  /** Pauses or resumes every stream of a request. */
  readonly setRequestPaused: (requestId: RequestId, paused: boolean) => void
  readonly getSize: () => number
}

interface Entry {
  readonly requestId: RequestId
  readonly driver: AttemptDriver
}

/** Creates an empty register. `drivers` maps each kind of work to its driver. */
export function createAttemptRegister (drivers: Readonly<Record<AttemptStart['work']['kind'], AttemptDriver>>): AttemptRegister {
  const entries = new Map<AttemptId, Entry>()
  const byRequest = new Map<RequestId, Set<AttemptId>>()
  const paused = new Set<RequestId>()

  function remove (attemptId: AttemptId): void {
    const entry = entries.get(attemptId)
    if (entry === undefined) return
    entries.delete(attemptId)
    const attempts = byRequest.get(entry.requestId)
    attempts?.delete(attemptId)
    if (attempts?.size !== 0) return
    byRequest.delete(entry.requestId)
    paused.delete(entry.requestId)
  }

  return {
    start: start => {
      const { attemptId, requestId } = start
      const driver = drivers[start.work.kind]
      const attempts = byRequest.get(requestId) ?? new Set()
      byRequest.set(requestId, attempts.add(attemptId))
      entries.set(attemptId, { requestId, driver })
      driver.startAttempt(start)
      if (paused.has(requestId)) driver.setAttemptPaused(attemptId, true)
    },
    cancel: attemptId => {
      entries.get(attemptId)?.driver.cancelAttempt(attemptId)
      remove(attemptId)
    },
    remove,
    setRequestPaused: (requestId, pause) => {
      const attempts = byRequest.get(requestId)
      if (attempts === undefined) return
      if (pause) paused.add(requestId)
      else paused.delete(requestId)
      for (const attemptId of attempts) entries.get(attemptId)?.driver.setAttemptPaused(attemptId, pause)
    },
    getSize: () => entries.size
  }
}
