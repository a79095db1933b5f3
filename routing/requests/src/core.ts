/** In-memory state of the requests system, created at startup and shared by all steps that handle a request. */
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { AttemptId, EndpointId, EndpointView, MonotonicMs, RequestId } from '@catkinferry/core.types'
import { createAdmission } from '@catkinferry/routing.admission'
import type { Admission } from '@catkinferry/routing.admission'
import { createBreaker } from '@catkinferry/routing.breakers'
import type { Breaker } from '@catkinferry/routing.breakers'
import { createDecisionLog } from '@catkinferry/routing.explain'
import type { DecisionLog } from '@catkinferry/routing.explain'
import { createAdaptiveLimit } from '@catkinferry/routing.limits'
import type { AdaptiveLimit } from '@catkinferry/routing.limits'
import { createRequestQueue } from '@catkinferry/routing.queues'
import type { RequestQueue } from '@catkinferry/routing.queues'
import { createRetryBudget } from '@catkinferry/routing.retries'
import type { RetryBudget } from '@catkinferry/routing.retries'
import { createRouter } from '@catkinferry/routing.router'
import type { Router } from '@catkinferry/routing.router'
import { createPolicyReader } from './policy.ts'
import type { Policy } from './policy.ts'
import type { AttemptRow, RequestRow, RequestsOptions } from './types.ts'

/** Bound on one host's pending grant requests and running attempts at an endpoint, as a multiple of its batch limit. */
const MAX_IN_FLIGHT_BATCHES = 2
/** Bound on the endpoints for which this host keeps a breaker and a concurrency limit. */
const MAX_KNOWN_ENDPOINTS = 4_096
/** Concurrent calls of one host at one endpoint of a plain service whose route sets no limit. */
const DEFAULT_SERVICE_CONCURRENCY = 64

/** Circuit breaker and concurrency limit of this host for one endpoint. */
export interface EndpointHealth {
  readonly breaker: Breaker
  readonly limit: AdaptiveLimit
  inFlight: number
}

export interface Core {
  readonly opts: RequestsOptions
  readonly getPolicy: () => Policy
  readonly requests: Map<RequestId, RequestRow>
  /** Attempts in all states, by grant id. */
  readonly attempts: Map<AttemptId, AttemptRow>
  /** Running attempts by attempt id, which endpoints echo in their answers. */
  readonly dispatched: Map<AttemptId, AttemptRow>
  readonly byEndpoint: Map<EndpointId, Set<AttemptRow>>
  readonly queues: Map<string, RequestQueue>
  readonly admission: Admission
  readonly router: Router
  readonly budget: RetryBudget
  readonly log: DecisionLog
  readonly health: Map<EndpointId, EndpointHealth>
  readonly deadlines: DueTimes<RequestId>
  /** Due times of retries, hedges, and polls for the outcome of another attempt with the same key. */
  readonly wakeups: DueTimes<RequestId>
  readonly attemptChecks: DueTimes<AttemptId>
  readonly queueChecks: DueTimes<string>
  /** Pools whose queues are tried on the next run. */
  readonly dirtyPools: Set<string>
  shuttingDown: boolean
  /** Number of outcomes submitted to the ledger and not yet recorded. */
  unrecorded: number
  lastPollAt: MonotonicMs
}

function getConcurrencyCeiling (endpoint: EndpointView, serviceConcurrency?: number): number {
  return endpoint.kind === 'service' ? serviceConcurrency ?? DEFAULT_SERVICE_CONCURRENCY : Math.max(1, endpoint.batchLimit) * MAX_IN_FLIGHT_BATCHES
}

/** Evicts endpoints without requests in flight, oldest entry first, when the table is full. */
function evictIdleHealth (health: Map<EndpointId, EndpointHealth>): void {
  for (const [endpoint, { inFlight }] of health) {
    if (health.size < MAX_KNOWN_ENDPOINTS) return
    if (inFlight === 0) health.delete(endpoint)
  }
}

/** Returns the health of an endpoint, creating it if needed. A `view` updates the ceiling of the limit. */
export function getHealth (health: Map<EndpointId, EndpointHealth>, endpoint: EndpointId, view?: EndpointView, serviceConcurrency?: number): EndpointHealth {
  let known = health.get(endpoint)
  if (known === undefined) {
    evictIdleHealth(health)
    known = { breaker: createBreaker(), limit: createAdaptiveLimit(view === undefined ? DEFAULT_SERVICE_CONCURRENCY : getConcurrencyCeiling(view, serviceConcurrency)), inFlight: 0 }
    health.set(endpoint, known)
  }
  if (view !== undefined) known.limit.setCeiling(getConcurrencyCeiling(view, serviceConcurrency))
  return known
}

/** Creates the state with empty tables. */
export function createCore (opts: RequestsOptions): Core {
  const health = new Map<EndpointId, EndpointHealth>()
  const getPolicy = createPolicyReader(opts.settings, opts.fleetPath)
  const isAllowed = (endpoint: EndpointView, now: MonotonicMs): boolean => {
    const { breaker, limit, inFlight } = getHealth(health, endpoint.endpoint, endpoint, getPolicy().serviceConcurrency.get(endpoint.pool))
    return inFlight < limit.getLimit() && breaker.isAllowed(now)
  }
  return {
    opts,
    getPolicy,
    requests: new Map(),
    attempts: new Map(),
    dispatched: new Map(),
    byEndpoint: new Map(),
    queues: new Map(),
    admission: createAdmission(),
    router: createRouter({ self: opts.self, zone: opts.zone, isAllowed }),
    budget: createRetryBudget(),
    log: createDecisionLog(),
    health,
    deadlines: createDueTimes(),
    wakeups: createDueTimes(),
    attemptChecks: createDueTimes(),
    queueChecks: createDueTimes(),
    dirtyPools: new Set(),
    shuttingDown: false,
    unrecorded: 0,
    lastPollAt: 0
  }
}

/** Returns the queue of a pool, creating it if needed. */
export function getQueue (core: Core, pool: string): RequestQueue {
  const known = core.queues.get(pool)
  if (known !== undefined) return known
  const queue = createRequestQueue()
  core.queues.set(pool, queue)
  return queue
}

/** Counts the requests in the queues of all other pools. */
export function countQueuedElsewhere (core: Core, pool: string): number {
  let count = 0
  for (const [other, queue] of core.queues) if (other !== pool) count += queue.getSize()
  return count
}
