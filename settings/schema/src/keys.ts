/** The table of every settings key: rule, default, description and the levels at which it may be set. */
import * as z from 'zod'
import type { KeyRow } from './keyRow.ts'
import { createFlagRule, createFleetKey, createIntRule, createModelsKey, createNumberRule, createShapeRule, createTextRule } from './keyTypes.ts'

const DAY_MS = 86_400_000
const GIBIBYTE = 2 ** 30

const flag = createFlagRule()
const fraction = createNumberRule('fraction', 0, 1)
const weight = createNumberRule('factor', 0, 1_000)
const shortMs = createIntRule('ms', 1, 600_000)
const longMs = createIntRule('ms', 1, 366 * DAY_MS)
const count = createIntRule('count', 1, 1_000_000)
const perSecond = createNumberRule('per second', 0.01, 1_000_000)
const name = createTextRule(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'name of A-Z a-z 0-9 . _ -')

const serviceRoutes = createShapeRule(
  z.record(z.string().regex(/^[a-z0-9][a-z0-9-]*$/), z.strictObject({
    pool: z.string().min(1).max(128),
    idempotent: z.boolean(),
    concurrency: z.int().min(1).max(100_000).optional()
  })),
  'map of route name to { pool, idempotent, concurrency? }'
)

const leaseVoters = createShapeRule(
  z.strictObject({ number: z.int().min(0), hosts: z.array(z.string().min(1).max(128)).max(15) }),
  'object of { number, hosts }: each change raises the number by one and adds or removes one host'
)

const FLEET_KEYS: readonly KeyRow[] = [
  createFleetKey('caller.requestsPerSecond', perSecond, 1_000, 'Requests that one caller may submit per second at one host.'),
  createFleetKey('caller.burst', count, 2_000, 'Requests that one caller may submit at once before the rate applies.'),
  createFleetKey('caller.concurrency', count, 512, 'Requests of one caller that may be under way at one host.'),
  createFleetKey('deadline.urgentMs', longMs, 10_000, 'Deadline of urgent requests that name none.'),
  createFleetKey('deadline.standardMs', longMs, 30_000, 'Deadline of standard requests that name none.'),
  createFleetKey('deadline.overnightMs', longMs, 21_600_000, 'Deadline of overnight requests that name none.'),
  createFleetKey('queue.limit', count, 2_000, 'Requests that may wait at one host.'),
  createFleetKey('queue.ageingMs', longMs, 5_000, 'Waiting time after which a request counts as one class more urgent.'),
  createFleetKey('routing.loadStallWeight', weight, 1, 'Weight of a load stall in the choice of an endpoint.'),
  createFleetKey('routing.batchFillWeight', weight, 1, 'Weight of batch fill in the choice of an endpoint.'),
  createFleetKey('routing.prefixMissMs', createNumberRule('ms', 0, 600_000), 40, 'Cost of a prompt prefix that is not cached.'),
  createFleetKey('routing.spillCostPerKilobyteMs', createNumberRule('ms per KB', 0, 100_000), 5, 'Cost of each kilobyte sent to another region.'),
  createFleetKey('routing.spillQueueMs', createNumberRule('ms', 0, 600_000), 500, 'Expected wait beyond which other zones are considered.'),
  createFleetKey('retry.budgetFraction', fraction, 0.1, 'Retries allowed as a share of successes.'),
  createFleetKey('retry.maxAttempts', createIntRule('count', 1, 10), 3, 'Dispatches of one idempotent request at most.'),
  createFleetKey('hedge.enabled', flag, false, 'Whether slow idempotent requests are dispatched a second time.'),
  createFleetKey('hedge.afterMs', shortMs, 800, 'Silence after which a request is hedged.'),
  createFleetKey('breaker.failureFraction', fraction, 0.5, 'Share of failures that opens the breaker of an endpoint.'),
  createFleetKey('breaker.minimumRequests', count, 10, 'Requests seen before a breaker may open.'),
  createFleetKey('breaker.openMs', shortMs, 2_000, 'Time that a breaker stays open before one request is tried.'),
  createFleetKey('loads.perSecond', perSecond, 6, 'Adapter loads per second that the weight store allows to the deployment.', 'fleet'),
  createFleetKey('loads.fullSpeedInFlight', count, 2, 'Loads under way at once at full speed.', 'fleet'),
  createFleetKey('loads.maxInFlight', count, 16, 'Loads under way at once at most.', 'fleet'),
  createFleetKey('loads.expectedMs', shortMs, 250, 'Time that one load takes at full speed, until it is measured.', 'fleet'),
  createFleetKey('loads.prefetchShare', fraction, 0.2, 'Share of the load budget that prefetch may use.', 'zone'),
  createFleetKey('adapters.maxReplicas', count, 8, 'Engines of one zone that may hold the same adapter.', 'zone'),
  createFleetKey('adapters.evictHysteresis', createNumberRule('factor', 1, 100), 1.3, 'Factor by which a wanted adapter must outweigh a resident one to replace it.', 'zone'),
  createFleetKey('zone.leaseMs', createIntRule('ms', 500, 3_000), 3_000, 'Length of the zone lease.', 'zone'),
  createFleetKey('zone.subLeaseMs', createIntRule('ms', 300, 2_000), 2_000, 'Length of an owner\'s sub-lease; at most the zone lease.', 'zone'),
  createFleetKey('zone.leaseVoters', leaseVoters, { number: 0, hosts: [] }, 'Hosts that vote on the zone lease; without hosts, those of the settings file.', 'zone'),
  createFleetKey('grant.startWithinMs', createIntRule('ms', 10, 1_000), 500, 'Time in which a grant must be used.', 'zone'),
  createFleetKey('request.maxRunMs', longMs, 120_000, 'Longest run of one attempt at an endpoint.', 'zone'),
  createFleetKey('stream.progressTimeoutMs', shortMs, 10_000, 'Silence on a stream that counts as a failure.'),
  createFleetKey('stream.resumeEnabled', flag, false, 'Whether engines resume a cut stream exactly at its offset; used for greedy decoding only.'),
  createFleetKey('endpoint.pollMs', createIntRule('ms', 50, 60_000), 500, 'Interval at which an owner reads an endpoint\'s report.', 'zone'),
  createFleetKey('platform.pollMs', createIntRule('ms', 50, 60_000), 1_000, 'Interval at which the platform list is read.', 'zone'),
  createFleetKey('roles.minimumStayMs', longMs, 600_000, 'Time that an engine stays in a pool before it may be moved.', 'zone'),
  createFleetKey('service.routes', serviceRoutes, {}, 'Plain service routes: the pool that serves each, and whether its calls may be repeated.', 'zone'),
  createFleetKey('ledger.retentionMs', createIntRule('ms', 60_000, 366 * DAY_MS), 604_800_000, 'Age beyond which an idempotency key is refused and its claim dropped.', 'fleet'),
  createFleetKey('ledger.keptAnswerBytes', createIntRule('bytes', 0, GIBIBYTE), 67_108_864, 'Answers kept for resends, in total; the oldest are dropped first.', 'fleet'),
  createFleetKey('ledger.openLimitMs', createIntRule('ms', 60_000, 30 * DAY_MS), 25_200_000, 'Age beyond which a claim without an outcome counts as unknown; at least the longest deadline plus request.maxRunMs.', 'fleet'),
  createFleetKey('audit.retentionMs', createIntRule('ms', 3_600_000, 3_660 * DAY_MS), 90 * DAY_MS, 'Age beyond which audit entries are dropped.', 'fleet'),
  createFleetKey('audit.keptBytes', createIntRule('bytes', 65_536, GIBIBYTE), 16_777_216, 'Audit entries kept, in total; the oldest are dropped first.', 'fleet'),
  createFleetKey('changes.retentionMs', createIntRule('ms', 60_000, 366 * DAY_MS), 604_800_000, 'Age beyond which the first answer to a change id is dropped.', 'fleet'),
  createFleetKey('changes.keptCount', createIntRule('count', 100, 1_000_000), 20_000, 'Answers to change ids kept; the oldest are dropped first.', 'fleet')
]

const MODELS_KEYS: readonly KeyRow[] = [
  createModelsKey('pool', 'model', ['model', 'adapter'], name, undefined, 'Pool of engines that serves the model or adapter.'),
  createModelsKey('enabled', 'adapter', ['model', 'adapter', 'version'], flag, true, 'Whether requests for it are taken.'),
  createModelsKey('inForce', 'adapter', ['adapter'], name, undefined, 'Version that serves requests that name none; the version must exist.'),
  createModelsKey('weightsUri', 'version', ['version'], createTextRule(/^\S+$/, 'URI without spaces'), undefined, 'Where the weights lie; fixed once set.'),
  createModelsKey('digest', 'version', ['version'], createTextRule(/^[a-z0-9]+:[A-Za-z0-9+/=_-]+$/, 'algorithm:value'), undefined, 'Digest of the weights; fixed once set.')
]

/** All keys, in the order of the generated page. */
export const SETTINGS_KEYS: readonly KeyRow[] = [...FLEET_KEYS, ...MODELS_KEYS]

const rowByKey: ReadonlyMap<string, KeyRow> = new Map(SETTINGS_KEYS.map(row => [row.key, row]))

/** All keys of the schema, fleet keys first. */
export function listKeys (): readonly KeyRow[] {
  return SETTINGS_KEYS
}

/** The row of one key; undefined when there is no such key. */
export function findKey (key: string): KeyRow | undefined {
  return rowByKey.get(key)
}
