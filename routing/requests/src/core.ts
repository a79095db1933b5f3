/** The tables that the steps of a request's way share. */
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

/** Asks and running requests that one host may have at an endpoint, as a multiple of its batch limit. */
const IN_FLIGHT_PER_BATCH = 2
/** Endpoints of which this host keeps what it has learnt. */
const MAX_KNOWN_ENDPOINTS = 4_096
/** In place of a batch limit for plain services whose route sets none. */
const SERVICE_CONCURRENCY = 64

/** This host's experience with one endpoint. */
export interface EndpointHealth {
  readonly breaker: Breaker
  readonly limit: AdaptiveLimit
  inFlight: number
}

export interface Core {
  readonly opts: RequestsOptions
  readonly getPolicy: () => Policy
  readonly requests: Map<RequestId, RequestRow>
  /** Asks and dispatches by the id of their grant. */
  readonly attempts: Map<AttemptId, AttemptRow>
  /** Dispatches by the id that endpoints echo. */
  readonly dispatched: Map<AttemptId, AttemptRow>
  readonly byEndpoint: Map<EndpointId, Set<AttemptRow>>
  readonly queues: Map<string, RequestQueue>
  readonly admission: Admission
  readonly router: Router
  readonly budget: RetryBudget
  readonly log: DecisionLog
  readonly health: Map<EndpointId, EndpointHealth>
  readonly deadlines: DueTimes<RequestId>
  /** Retries after a delay, and polls for another attempt's outcome. */
  readonly wakeups: DueTimes<RequestId>
  readonly attemptChecks: DueTimes<AttemptId>
  readonly queueChecks: DueTimes<string>
  readonly dirtyPools: Set<string>
  shuttingDown: boolean
  /** Outcomes handed to the ledger and not yet recorded. */
  unrecorded: number
  lastPollAt: MonotonicMs
}

function getCeiling (endpoint: EndpointView, serviceConcurrency?: number): number {
  return endpoint.kind === 'service' ? serviceConcurrency ?? SERVICE_CONCURRENCY : Math.max(1, endpoint.batchLimit) * IN_FLIGHT_PER_BATCH
}

/** Forgets endpoints that this host has nothing under way at, the longest known first. */
function dropOldHealth (health: Map<EndpointId, EndpointHealth>): void {
  for (const [endpoint, { inFlight }] of health) {
    if (health.size < MAX_KNOWN_ENDPOINTS) return
    if (inFlight === 0) health.delete(endpoint)
  }
}

/** Finds or creates the health of an endpoint. */
export function getHealth (health: Map<EndpointId, EndpointHealth>, endpoint: EndpointId, view?: EndpointView, serviceConcurrency?: number): EndpointHealth {
  let known = health.get(endpoint)
  if (known === undefined) {
    dropOldHealth(health)
    known = { breaker: createBreaker(), limit: createAdaptiveLimit(view === undefined ? SERVICE_CONCURRENCY : getCeiling(view, serviceConcurrency)), inFlight: 0 }
    health.set(endpoint, known)
  }
  if (view !== undefined) known.limit.setCeiling(getCeiling(view, serviceConcurrency))
  return known
}

/** Creates the empty tables. */
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

/** Finds or creates the queue of a pool. */
export function getQueue (core: Core, pool: string): RequestQueue {
  const known = core.queues.get(pool)
  if (known !== undefined) return known
  const queue = createRequestQueue()
  core.queues.set(pool, queue)
  return queue
}

/** Counts the requests that wait in the queues of other pools. */
export function countQueuedElsewhere (core: Core, pool: string): number {
  let count = 0
  for (const [other, queue] of core.queues) if (other !== pool) count += queue.getSize()
  return count
}
