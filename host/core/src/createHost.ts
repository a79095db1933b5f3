/** The deterministic core of a host: the daemon passes in events and the current time, and performs the outputs that each run returns. */
import { PAUSE_THRESHOLD_MS } from '@catkinferry/core.constants'
import type { MonotonicMs, SettingsView } from '@catkinferry/core.types'
import type { HostEvent, HostOutput, RunContext } from '@catkinferry/host.events'
import { handleEvent } from './eventHandlers.ts'
import { emitHealth } from './health.ts'
import type { HostOptions } from './hostOptions.ts'
import type { HostState } from './hostState.ts'
import { handleMessage } from './messageHandlers.ts'
import { createOutbox } from './outbox.ts'
import type { Outbox } from './outbox.ts'
import { createSystems, getNextDueAt, runSystems } from './systems.ts'

/** Maximum interval between two runs, unless the process is paused. */
const MAX_RUN_INTERVAL_MS = 100

export interface Host {
  /** Queues an event for the next run. */
  readonly receive: (event: HostEvent) => void
  /** Handles the queued events and everything due. `now` never goes back. */
  readonly run: (now: MonotonicMs) => HostOutput[]
  /** Time at which `run` is due without a new event. */
  readonly getNextAt: () => MonotonicMs
  /** Highest settings revision applied here. */
  readonly getRevision: () => number
  readonly isReady: () => boolean
  readonly settings: SettingsView
}

function handleLoopback (host: HostState, outbox: Outbox): void {
  for (let message = outbox.takeLoopback(); message !== undefined; message = outbox.takeLoopback()) {
    handleMessage(host.systems, host.opts.self.host, message, outbox.context)
  }
}

/** After a pause of the process, leases and grants from before it can no longer be relied on. */
function checkPause (host: HostState, context: RunContext): void {
  const gapMs = context.now - host.lastRunAt
  host.lastRunAt = context.now
  if (gapMs <= PAUSE_THRESHOLD_MS) return
  context.emit({ kind: 'log', level: 'warn', message: 'the host was paused', fields: { step: 'run', gapMs } })
  context.emit({ kind: 'metric', type: 'timing', name: 'host.pause_ms', value: gapMs })
  host.systems.zone.handlePause(context)
  host.systems.requests.handlePause(context)
}

function finishShutdown (host: HostState, context: RunContext): void {
  if (!host.stopping || host.stopped) return
  const idle = host.systems.requests.getActiveCount() === 0 && host.systems.ledger.getPendingCount() === 0 && host.systems.zone.isIdle()
  if (!idle) return
  host.stopped = true
  context.emit({ kind: 'host.stopped' })
}

export function createHost (opts: HostOptions): Host {
  const host: HostState = {
    opts,
    systems: createSystems(opts),
    links: new Map(),
    stopping: false,
    stopped: false,
    lastRunAt: opts.startedAt
  }
  let queued: HostEvent[] = []

  function run (now: MonotonicMs): HostOutput[] {
    const outbox = createOutbox({ self: opts.self.host, now, wallNow: opts.wallAtZeroMs + now })
    checkPause(host, outbox.context)
    const events = queued
    queued = []
    for (const event of events) {
      handleEvent(host, event, outbox.context)
      handleLoopback(host, outbox)
    }
    runSystems(host.systems, outbox.context)
    handleLoopback(host, outbox)
    emitHealth(host, outbox.context)
    finishShutdown(host, outbox.context)
    return outbox.outputs
  }

  return {
    receive: event => { queued.push(event) },
    run,
    getNextAt: () => Math.min(getNextDueAt(host.systems) ?? Infinity, host.lastRunAt + MAX_RUN_INTERVAL_MS),
    getRevision: () => host.systems.dissemination.view.getRevision(),
    isReady: () => host.health?.ready ?? false,
    settings: host.systems.dissemination.view
  }
}
