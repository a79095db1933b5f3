/** Simulates continuous batching in an engine: each step advances all running requests by one token, and takes longer the more run. */
import type { EngineStats } from './engine.ts'
import type { VirtualTime } from './virtualTime.ts'

/** Duration of one decoding step: a base and an increment per running request. */
const STEP_BASE_MS = 20
const STEP_PER_REQUEST_MS = 0.75
/** A request has ended when at most this fraction of a token is left, which allows for rounding errors. */
const TOKEN_TOLERANCE = 1e-6

export interface BatchWork {
  readonly adapter: string
  readonly tokens: number
}

interface RunningRequest {
  readonly adapter: string
  tokensLeft: number
  readonly onEnd: (completed: boolean) => void
}

export interface Batch {
  readonly add: (id: string, work: BatchWork, onEnd: (completed: boolean) => void) => void
  readonly cancel: (id: string) => void
  readonly interruptAll: () => void
  readonly countRunning: (adapter?: string) => number
}

export function createBatch (opts: { readonly time: VirtualTime, readonly stats: EngineStats, readonly isCounted: () => boolean }): Batch {
  const { time, stats } = opts
  const running = new Map<string, RunningRequest>()
  let advancedAt = 0
  let scheduleVersion = 0

  const getStepMs = (): number => STEP_BASE_MS + STEP_PER_REQUEST_MS * running.size

  function advance (): void {
    const now = time.getNow()
    const elapsed = now - advancedAt
    advancedAt = now
    if (elapsed <= 0 || running.size === 0) return
    if (opts.isCounted()) {
      stats.busyMs += elapsed
      stats.runningMs += elapsed * running.size
    }
    const tokens = elapsed / getStepMs()
    for (const row of running.values()) row.tokensLeft -= tokens
  }

  function endCompleted (): void {
    advance()
    const ended = [...running].filter(([, row]) => row.tokensLeft <= TOKEN_TOLERANCE)
    for (const [id] of ended) running.delete(id)
    scheduleNextEnd()
    for (const [, row] of ended) row.onEnd(true)
  }

  function scheduleNextEnd (): void {
    scheduleVersion += 1
    if (running.size === 0) return
    const version = scheduleVersion
    const least = Math.min(...[...running.values()].map(({ tokensLeft }) => tokensLeft))
    time.scheduleAfter(Math.max(0, least) * getStepMs(), () => {
      if (version === scheduleVersion) endCompleted()
    })
  }

  return {
    add: (id, { adapter, tokens }, onEnd) => {
      advance()
      running.set(id, { adapter, tokensLeft: tokens, onEnd })
      scheduleNextEnd()
    },
    cancel: id => {
      advance()
      if (running.delete(id)) scheduleNextEnd()
    },
    interruptAll: () => {
      advance()
      const interrupted = [...running.values()]
      running.clear()
      scheduleNextEnd()
      for (const row of interrupted) row.onEnd(false)
    },
    countRunning: adapter => {
      if (adapter === undefined) return running.size
      let count = 0
      for (const row of running.values()) if (row.adapter === adapter) count += 1
      return count
    }
  }
}
