/** Measures how late the event loop of this process turns, so that its own pauses are told from the silence of others. */
import type { Clock } from './clock.ts'

/** How often the lateness is measured. */
export const TURN_INTERVAL_MS = 50
/** A turn that is later than this is a late one. */
const LATE_TURN_MS = 50
/** How long a late turn may explain what this host believes of others. */
const RECENT_MS = 5_000

export interface LateTurn {
  readonly lateMs: number
  /** The longest recorded step before it, if it took the larger part of the time. */
  readonly step?: string
  readonly stepMs?: number
}

export interface LoopListener {
  /** Called for a late turn, before sockets are read. */
  readonly onLate?: (late: LateTurn) => void
  /** Called at intervals of `TURN_INTERVAL_MS`, after the sockets that were readable have been read. */
  readonly onTurn?: () => void
}

export interface LoopWatch {
  /** Returns a function that ends the calls. */
  readonly watch: (listener: LoopListener) => () => void
  /** Runs a step of work and records how long it took. */
  readonly measure: <Result>(step: string, run: () => Result) => Result
  /** The largest lateness of a turn in the last 5 s; 0 if none was late. */
  readonly getRecentLateMs: () => number
  readonly close: () => void
}

/** Starts the watch. It does not keep the process running. */
export function createLoopWatch ({ clock }: { readonly clock: Pick<Clock, 'getMonotonicMs'> }): LoopWatch {
  const listeners = new Set<LoopListener>()
  let dueAt = clock.getMonotonicMs() + TURN_INTERVAL_MS
  let longest: { readonly step: string, readonly stepMs: number } | undefined
  let recent = { lateMs: 0, at: Number.NEGATIVE_INFINITY }

  function describeLate (lateMs: number): LateTurn {
    return longest !== undefined && longest.stepMs > lateMs / 2 ? { lateMs, ...longest } : { lateMs }
  }

  function checkLateness (now: number, lateMs: number): void {
    dueAt = now + TURN_INTERVAL_MS
    if (lateMs > LATE_TURN_MS) {
      if (lateMs >= recent.lateMs || now - recent.at > RECENT_MS) recent = { lateMs, at: now }
      const late = describeLate(lateMs)
      for (const { onLate } of listeners) onLate?.(late)
    }
    longest = undefined
  }

  /** Calls the listeners after sockets have been read; once more, if another step took long after they were. */
  function scheduleTurn (scheduledAt: number): void {
    setImmediate(() => {
      const now = clock.getMonotonicMs()
      if (now - scheduledAt > LATE_TURN_MS) {
        checkLateness(now, now - scheduledAt)
        scheduleTurn(now)
      } else for (const { onTurn } of listeners) onTurn?.()
    })
  }

  const timer = setInterval(() => {
    const now = clock.getMonotonicMs()
    checkLateness(now, now - dueAt)
    scheduleTurn(now)
  }, TURN_INTERVAL_MS)
  timer.unref()

  return {
    watch: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    measure: (step, run) => {
      const startedAt = clock.getMonotonicMs()
      try {
        return run()
      } finally {
        const stepMs = clock.getMonotonicMs() - startedAt
        if (longest === undefined || stepMs > longest.stepMs) longest = { step, stepMs }
      }
    },
    getRecentLateMs: () => clock.getMonotonicMs() - recent.at > RECENT_MS ? 0 : recent.lateMs,
    close: () => clearInterval(timer)
  }
}
