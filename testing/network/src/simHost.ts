/** Simulated host: runs one host core on virtual time with its own local clock; can be started, stopped and paused. */
import { createHost } from '@catkinferry/host.core'
import type { Host, HostOptions } from '@catkinferry/host.core'
import type { HostEvent, HostOutput } from '@catkinferry/host.events'
import type { StoredState } from '@catkinferry/wire.messages'
import type { Scheduler } from './scheduler.ts'

export interface SimHost {
  readonly name: string
  readonly isRunning: () => boolean
  readonly isPaused: () => boolean
  /** Counts starts and stops; events for an earlier incarnation are dropped. */
  readonly getIncarnation: () => number
  readonly getCore: () => Host | undefined
  /** Takes an event, unless the host has restarted since `incarnation`. */
  readonly receive: (event: HostEvent, incarnation?: number) => void
  /** Current local monotonic time in ms. */
  readonly getLocalNow: () => number
  readonly start: (stored: StoredState | undefined) => void
  readonly stop: () => void
  /** Suspends the event loop; events are queued meanwhile. */
  readonly pause: (durationMs: number) => void
  /** Suspends the host after its next run, before the outputs of that run are executed: a pause between deciding and sending. */
  readonly delayNextOutputs: (durationMs: number) => void
}

export interface SimHostOptions {
  readonly name: string
  readonly scheduler: Scheduler
  readonly core: Omit<HostOptions, 'stored' | 'startedAt' | 'wallAtZeroMs'>
  /** Local time is this offset plus virtual time times `clockRate`. */
  readonly clockOffsetMs: number
  readonly clockRate: number
  readonly executeOutput: (output: HostOutput, incarnation: number) => void
  /** Wraps each run of the core, to measure its duration. */
  readonly timeRun?: (host: string, run: () => HostOutput[]) => HostOutput[]
}

/** Wall-clock time in Unix ms at virtual time 0. */
export const WALL_EPOCH_MS = 1_780_000_000_000

/** Minimum time between two runs without an event. Without it, a core whose next run is due in the past would keep virtual time from advancing. */
const MIN_STEP_MS = 1

interface SimState extends SimHostOptions {
  running: Host | undefined
  incarnation: number
  resumeAt: number
  outputDelayMs: number
  wakeAt: number
  runQueued: boolean
}

function getLocalNow (state: SimState): number {
  return state.clockOffsetMs + state.scheduler.getNow() * state.clockRate
}

function executeOutputs (state: SimState, outputs: readonly HostOutput[], incarnation: number): void {
  for (const output of outputs) state.executeOutput(output, incarnation)
}

function runCore (state: SimState, incarnation: number): void {
  if (state.running === undefined || incarnation !== state.incarnation) return
  const now = state.scheduler.getNow()
  if (now < state.resumeAt) {
    state.scheduler.add(state.resumeAt - now, () => runCore(state, incarnation))
    return
  }
  state.runQueued = false
  const { running } = state
  const runOnce = (): HostOutput[] => running.run(getLocalNow(state))
  const outputs = state.timeRun === undefined ? runOnce() : state.timeRun(state.name, runOnce)
  if (state.outputDelayMs > 0) {
    const delayMs = state.outputDelayMs
    state.outputDelayMs = 0
    state.resumeAt = now + delayMs
    state.scheduler.add(delayMs, () => { if (incarnation === state.incarnation) executeOutputs(state, outputs, incarnation) })
  } else {
    executeOutputs(state, outputs, incarnation)
  }
  scheduleWake(state, incarnation)
}

function scheduleWake (state: SimState, incarnation: number): void {
  if (state.running === undefined) return
  const inMs = Math.max(MIN_STEP_MS, (state.running.getNextAt() - getLocalNow(state)) / state.clockRate)
  const at = state.scheduler.getNow() + inMs
  state.wakeAt = at
  state.scheduler.add(inMs, () => { if (state.wakeAt === at) runCore(state, incarnation) })
}

function startCore (state: SimState, stored: StoredState | undefined): void {
  state.incarnation++
  state.resumeAt = 0
  state.outputDelayMs = 0
  state.runQueued = false
  const seed = state.core.seed + state.incarnation * 1_000
  const wallAtZeroMs = WALL_EPOCH_MS - state.clockOffsetMs
  state.running = createHost({ ...state.core, seed, stored, startedAt: getLocalNow(state), wallAtZeroMs })
  runCore(state, state.incarnation)
}

/** Creates a stopped host. */
export function createSimHost (opts: SimHostOptions): SimHost {
  const state: SimState = { ...opts, running: undefined, incarnation: 0, resumeAt: 0, outputDelayMs: 0, wakeAt: -1, runQueued: false }
  return {
    name: opts.name,
    isRunning: () => state.running !== undefined,
    isPaused: () => opts.scheduler.getNow() < state.resumeAt,
    getIncarnation: () => state.incarnation,
    getCore: () => state.running,
    receive: (event, incarnation = state.incarnation) => {
      if (state.running === undefined || incarnation !== state.incarnation) return
      state.running.receive(event)
      if (state.runQueued) return
      state.runQueued = true
      opts.scheduler.add(0, () => runCore(state, incarnation))
    },
    getLocalNow: () => getLocalNow(state),
    start: stored => startCore(state, stored),
    stop: () => {
      state.running = undefined
      state.incarnation++
    },
    pause: durationMs => { state.resumeAt = Math.max(state.resumeAt, opts.scheduler.getNow() + durationMs) },
    delayNextOutputs: durationMs => { state.outputDelayMs = durationMs }
  }
}
