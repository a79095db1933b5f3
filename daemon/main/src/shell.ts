/** Event loop of a host: queues events for the host core, runs the core once per turn and dispatches its outputs. */
import type { Clock } from '@catkinferry/core.clock'
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { MonotonicMs } from '@catkinferry/core.types'
import type { HostEvent, HostOutput } from '@catkinferry/host.events'

/** The part of a host core that the loop calls. */
export interface RunnableHost<Event = HostEvent> {
  readonly receive: (event: Event) => void
  readonly run: (now: MonotonicMs) => HostOutput[]
  readonly getNextAt: () => MonotonicMs | undefined
}

/** Handler of each kind of output. */
export type OutputHandlers = { readonly [Kind in HostOutput['kind']]: (output: Extract<HostOutput, { kind: Kind }>) => void }

export interface ShellOptions<Event = HostEvent> {
  readonly host: RunnableHost<Event>
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  /** May omit kinds that the host never emits. */
  readonly handlers: Partial<OutputHandlers>
  /** Called after the outputs of a run have been dispatched. */
  readonly onTurnEnd: () => void
  /** Called when the core throws. Its state is then undefined, so the loop has stopped. */
  readonly onCrash: (error: unknown) => void
}

export interface Shell<Event = HostEvent> {
  /** Queues an event and schedules a run. */
  readonly emit: (event: Event) => void
  readonly start: () => void
  readonly stop: () => void
}

/** Longest scheduled time between two turns. */
const MAX_TIMER_MS = 1_000
/** With this many queued events the host runs immediately, so that a burst of stream data cannot delay leases and heartbeats. */
const MAX_EVENTS_PER_RUN = 1_000
/** Turns that take longer are reported to the metric `loop.run_ms`. */
const SLOW_RUN_MS = 5

/** Creates a stopped loop. */
export function createShell<Event = HostEvent> (opts: ShellOptions<Event>): Shell<Event> {
  const { host, clock, metrics, logger } = opts
  let turn: NodeJS.Immediate | undefined
  let timer: NodeJS.Timeout | undefined
  let timerAt = Infinity
  let running = false
  let inTurn = false
  let queued = 0

  function dispatch (output: HostOutput): void {
    const handle = opts.handlers[output.kind] as ((output: HostOutput) => void) | undefined
    try {
      if (handle === undefined) throw new Error(`no handler for output '${output.kind}'`)
      handle(output)
    } catch (error) {
      logger.error('failed to execute an output of the host core', { step: output.kind, cause: error })
    }
  }

  function armTimer (now: MonotonicMs): void {
    const at = Math.min(host.getNextAt() ?? Infinity, now + MAX_TIMER_MS)
    if (timer !== undefined && timerAt <= at) return
    clearTimeout(timer)
    timerAt = at
    timer = setTimeout(() => {
      timer = undefined
      timerAt = Infinity
      // Node.js runs timers before it reads sockets: after a pause, messages that have arrived come before the deadlines that passed meanwhile.
      scheduleTurn()
    }, Math.max(0, Math.ceil(at - now)))
  }

  function runTurn (): void {
    clearImmediate(turn)
    turn = undefined
    if (!running) return
    queued = 0
    inTurn = true
    const startedAt = clock.getMonotonicMs()
    let outputs: HostOutput[]
    try {
      outputs = host.run(startedAt)
    } catch (error) {
      running = false
      inTurn = false
      opts.onCrash(error)
      return
    }
    for (const output of outputs) dispatch(output)
    opts.onTurnEnd()
    inTurn = false
    const endedAt = clock.getMonotonicMs()
    if (endedAt - startedAt > SLOW_RUN_MS) metrics.timing('loop.run_ms', endedAt - startedAt)
    if (running) armTimer(endedAt)
  }

  function scheduleTurn (): void {
    if (running) turn ??= setImmediate(runTurn)
  }

  return {
    emit: event => {
      host.receive(event)
      queued += 1
      if (queued >= MAX_EVENTS_PER_RUN && !inTurn) runTurn()
      else scheduleTurn()
    },
    start: () => {
      running = true
      scheduleTurn()
    },
    stop: () => {
      running = false
      clearTimeout(timer)
      clearImmediate(turn)
    }
  }
}
