/** Reads the settings of the requests system when it first needs them, and again only when the settings revision changes. */
import { ServiceClass } from '@catkinferry/core.types'
import type { DurationMs, NodePath, SettingsView } from '@catkinferry/core.types'
import type { CallerLimits } from '@catkinferry/routing.admission'
import type { BreakerLimits } from '@catkinferry/routing.breakers'
import type { QueueLimits } from '@catkinferry/routing.queues'
import type { RouterWeights } from '@catkinferry/routing.router'

/** A plain service route, as stored in the setting `service.routes`. */
export interface ServiceRoutePolicy {
  readonly pool: string
  readonly idempotent: boolean
  /** Concurrent calls of one host at one endpoint. */
  readonly concurrency?: number
}

export interface Policy {
  readonly caller: CallerLimits
  readonly queue: QueueLimits
  readonly weights: RouterWeights
  readonly breaker: BreakerLimits
  /** Retries allowed per successful request. */
  readonly retryBudgetFraction: number
  /** Failed attempts that may have run, after which a request is not retried. */
  readonly retryMaxAttempts: number
  readonly hedgeEnabled: boolean
  /** Time from a dispatch until a second attempt may be started, if no answer has begun. */
  readonly hedgeAfterMs: DurationMs
  readonly startWithinMs: DurationMs
  readonly maxRunMs: DurationMs
  /** Maximum time without progress of a streamed answer. */
  readonly progressTimeoutMs: DurationMs
  readonly resumeEnabled: boolean
  /** How long the ledger keeps claims; older idempotency keys are refused. */
  readonly retentionMs: DurationMs
  readonly serviceRoutes: Readonly<Record<string, ServiceRoutePolicy>>
  /** Concurrency by pool of plain services; the lowest where several routes of a pool set one. */
  readonly serviceConcurrency: ReadonlyMap<string, number>
}

function collectServiceConcurrency (routes: Policy['serviceRoutes']): Map<string, number> {
  const limits = new Map<string, number>()
  for (const { pool, concurrency } of Object.values(routes)) {
    if (concurrency !== undefined) limits.set(pool, Math.min(concurrency, limits.get(pool) ?? Infinity))
  }
  return limits
}

function readPolicy (settings: SettingsView, path: NodePath): Policy {
  const get = <T>(key: string): T => settings.getValue<T>(path, key)
  const serviceRoutes = get<Policy['serviceRoutes'] | undefined>('service.routes') ?? {}
  return {
    caller: {
      requestsPerSecond: get('caller.requestsPerSecond'),
      burst: get('caller.burst'),
      concurrency: get('caller.concurrency')
    },
    queue: {
      limit: get('queue.limit'),
      ageingMs: get('queue.ageingMs'),
      classDeadlineMs: {
        [ServiceClass.URGENT]: get('deadline.urgentMs'),
        [ServiceClass.STANDARD]: get('deadline.standardMs'),
        [ServiceClass.OVERNIGHT]: get('deadline.overnightMs')
      }
    },
    weights: {
      loadStallWeight: get('routing.loadStallWeight'),
      batchFillWeight: get('routing.batchFillWeight'),
      prefixMissMs: get('routing.prefixMissMs'),
      spillCostPerKilobyteMs: get('routing.spillCostPerKilobyteMs'),
      spillQueueMs: get('routing.spillQueueMs')
    },
    breaker: {
      failureFraction: get('breaker.failureFraction'),
      minimumRequests: get('breaker.minimumRequests'),
      openMs: get('breaker.openMs')
    },
    retryBudgetFraction: get('retry.budgetFraction'),
    retryMaxAttempts: get('retry.maxAttempts'),
    hedgeEnabled: get('hedge.enabled'),
    hedgeAfterMs: get('hedge.afterMs'),
    startWithinMs: get('grant.startWithinMs'),
    maxRunMs: get('request.maxRunMs'),
    progressTimeoutMs: get('stream.progressTimeoutMs'),
    resumeEnabled: get('stream.resumeEnabled'),
    retentionMs: get('ledger.retentionMs'),
    serviceRoutes,
    serviceConcurrency: collectServiceConcurrency(serviceRoutes)
  }
}

/** Creates a cached reader of the policy in force at one node of the settings tree. */
export function createPolicyReader (settings: SettingsView, path: NodePath): () => Policy {
  let revision = -1
  let policy: Policy | undefined
  return () => {
    if (policy === undefined || settings.getRevision() !== revision) {
      revision = settings.getRevision()
      policy = readPolicy(settings, path)
    }
    return policy
  }
}
