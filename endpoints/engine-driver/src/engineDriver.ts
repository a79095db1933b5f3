/**
 * Sends attempts (one try of a completion), orders (load or evict an adapter, change the pool) and polls of the status
 * report to model engines over HTTP and emits their responses as host events. The daemon calls it when the host core starts
 * or cancels one of them, and when a slow caller pauses an attempt.
 */
import type { Clock } from '@catkinferry/core.clock'
import type { MemoryBudget } from '@catkinferry/core.memory-budget'
import type { AttemptId, EndpointId, OrderId } from '@catkinferry/core.types'
import { createAttemptTable, createConnections, createControlBudget, createResponseBudget } from '@catkinferry/endpoints.http-dispatch'
import type { ConnectionsOptions } from '@catkinferry/endpoints.http-dispatch'
import type { AttemptStart, HostEvent, OrderSend } from '@catkinferry/host.events'
import { startEngineAttempt } from './engineAttempt.ts'
import { createOrders } from './orders.ts'
import { pollEngine } from './pollEngine.ts'

export interface EngineDriverOptions {
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly connections?: ConnectionsOptions
  /** Accounts for what is held of responses to attempts; shared by the drivers of a process. */
  readonly budget?: MemoryBudget
  /** Accounts for what is held of responses to orders and polls. */
  readonly controlBudget?: MemoryBudget
}

export interface EngineDriver {
  readonly startAttempt: (start: AttemptStart) => void
  /** Aborts an attempt without emitting an event for it, then or later. */
  readonly cancelAttempt: (attemptId: AttemptId) => void
  /** Pauses or resumes reading the engine's stream, for a slow caller. */
  readonly setAttemptPaused: (attemptId: AttemptId, paused: boolean) => void
  readonly sendOrder: (order: OrderSend) => void
  /**
   * Aborts an order and resets its connection, so that data still in the send buffer cannot reach the engine later. Unlike
   * a cancelled attempt, it emits an `order.result`: `notSent`, or `unknown` if the request may have arrived.
   */
  readonly cutOrder: (orderId: OrderId) => void
  /** Does nothing while an earlier poll of the endpoint is in progress. */
  readonly pollEndpoint: (endpoint: EndpointId, url: string) => void
  readonly close: () => Promise<void>
}

export function createEngineDriver (opts: EngineDriverOptions): EngineDriver {
  const { clock, emit } = opts
  const connections = createConnections(opts.connections)
  const budget = opts.budget ?? createResponseBudget()
  const controlBudget = opts.controlBudget ?? createControlBudget()
  const attempts = createAttemptTable()
  const orders = createOrders({ clock, emit, connections, budget: controlBudget })
  const polling = new Set<EndpointId>()

  return {
    startAttempt: start => {
      const call = startEngineAttempt({ start, clock, emit, connections, budget, onDone: () => attempts.remove(start.attemptId) })
      attempts.put(start.attemptId, call)
    },
    cancelAttempt: attemptId => { attempts.cancel(attemptId) },
    setAttemptPaused: attempts.setPaused,
    sendOrder: orders.send,
    cutOrder: orders.cut,
    pollEndpoint: (endpoint, url) => {
      if (polling.has(endpoint)) return
      polling.add(endpoint)
      void pollEngine({ endpoint, url, clock, connections, budget: controlBudget }).then(event => {
        polling.delete(endpoint)
        emit(event)
      })
    },
    close: connections.close
  }
}
