/** Continuous batching: all running requests advance one token a step, and a step takes longer the more run. */
import type { EngineStats } from './engine.ts'
import type { VirtualTime } from './virtualTime.ts'

/** Time of one decoding step: a base and a part for each running request. */
const STEP_BASE_MS = 20
const STEP_PER_REQUEST_MS = 0.75
const ROUNDING_TOKENS = 1e-6

export interface BatchWork {
  readonly adapter: string
  readonly tokens: number
}

interface Running {
  readonly adapter: string
  tokensLeft: number
  readonly onEnd: (whole: boolean) => void
}

export interface Batch {
  readonly add: (id: string, work: BatchWork, onEnd: (whole: boolean) => void) => void
  readonly cancel: (id: string) => void
  readonly cutAll: () => void
  readonly countRunning: (adapter?: string) => number
}

/** Creates an empty batch. */
export function createBatch (opts: { readonly time: VirtualTime, readonly stats: EngineStats, readonly isCounted: () => boolean }): Batch {
  const { time, stats } = opts
  const running = new Map<string, Running>()
  let progressedAt = 0
  let planNumber = 0

  const getStepMs = (): number => STEP_BASE_MS + STEP_PER_REQUEST_MS * running.size

  function advance (): void {
    const now = time.getNow()
    const elapsed = now - progressedAt
    progressedAt = now
    if (elapsed <= 0 || running.size === 0) return
    if (opts.isCounted()) {
      stats.busyMs += elapsed
      stats.runningMs += elapsed * running.size
    }
    const tokens = elapsed / getStepMs()
    for (const row of running.values()) row.tokensLeft -= tokens
  }

  function endDone (): void {
    advance()
    const done = [...running].filter(([, row]) => row.tokensLeft <= ROUNDING_TOKENS)
    for (const [id] of done) running.delete(id)
    planEnd()
    for (const [, row] of done) row.onEnd(true)
  }

  function planEnd (): void {
    planNumber += 1
    if (running.size === 0) return
    const thisPlan = planNumber
    const least = Math.min(...[...running.values()].map(({ tokensLeft }) => tokensLeft))
    time.after(Math.max(0, least) * getStepMs(), () => {
      if (thisPlan === planNumber) endDone()
    })
  }

  return {
    add: (id, { adapter, tokens }, onEnd) => {
      advance()
      running.set(id, { adapter, tokensLeft: tokens, onEnd })
      planEnd()
    },
    cancel: id => {
      advance()
      if (running.delete(id)) planEnd()
    },
    cutAll: () => {
      advance()
      const cut = [...running.values()]
      running.clear()
      planEnd()
      for (const row of cut) row.onEnd(false)
    },
    countRunning: adapter => {
      if (adapter === undefined) return running.size
      let count = 0
      for (const row of running.values()) if (row.adapter === adapter) count += 1
      return count
    }
  }
}
