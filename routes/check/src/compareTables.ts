/** Compares two route tables: what was added, removed or changed, and the effect on callers. */
import type { CallerLimits, EnginePool, Pool, RouteTable } from '@catkinferry/core.types'
import { compareAccounts } from './compareAccounts.ts'
import { compareRoutes } from './compareRoutes.ts'
import { createWarning, EffectCode, listFieldDifferences } from './effects.ts'
import type { Difference, Effect, FieldDifference, TableDifferences } from './effects.ts'
import { createFormatName } from './formatName.ts'
import type { FormatName, HasKey } from './formatName.ts'

const POOL_FIELDS = ['healthPath', 'maxConnections'] as const satisfies ReadonlyArray<keyof Pool>
const ENGINE_FIELDS = ['batchLimit', 'weightsMb', 'adapterPlaces', 'modelLoadsPerSecond'] as const satisfies ReadonlyArray<keyof EnginePool>
const NO_ENGINE: Partial<EnginePool> = {}

/** What a lowered limit does, by limit. */
const LIMIT_EFFECTS: Readonly<Record<keyof CallerLimits, (limit: number) => string>> = {
  maxHeaderBytes: bytes => `requests with headers over ${bytes} bytes are refused`,
  maxBodyBytes: bytes => `requests with a body over ${bytes} bytes are refused`,
  headerTimeoutMs: ms => `callers that take longer than ${ms} ms to send headers are disconnected`,
  idleTimeoutMs: ms => `connections that are idle for ${ms} ms are closed`
}

function compareEngines (before: EnginePool | undefined, after: EnginePool | undefined, formatName: FormatName): { readonly fields: FieldDifference[], readonly effects: Effect[] } {
  const fields = listFieldDifferences<Partial<EnginePool>>(before ?? NO_ENGINE, after ?? NO_ENGINE, ENGINE_FIELDS)
  const models = new Set(after?.models.map(({ model }) => model))
  const known = new Map(before?.models.map(row => [row.model, row]))
  const lost = [...known.keys()].filter(model => !models.has(model))
  const gained = [...models].filter(model => !known.has(model))
  const changed = (after?.models ?? []).filter(row => known.has(row.model) && JSON.stringify(known.get(row.model)) !== JSON.stringify(row)).map(({ model }) => model)
  const describe = (list: readonly string[], what: string): string[] => list.length === 0 ? [] : [`${what} ${list.map(formatName).join(', ')}`]
  const text = [...describe(gained, 'added'), ...describe(lost, 'removed'), ...describe(changed, 'changed')].join('; ')
  return {
    fields: text === '' ? fields : [...fields, { field: 'models', before: known.size, after: `${models.size}: ${text}` }],
    effects: lost.length === 0 ? [] : [createWarning(EffectCode.REQUESTS_REFUSED, `requests for models ${lost.map(formatName).join(', ')} are no longer served here`)]
  }
}

function comparePools (before: RouteTable, after: RouteTable, formatName: FormatName): Difference[] {
  const known = new Map(before.pools.map(pool => [pool.name, pool]))
  const kept = new Set(after.pools.map(({ name }) => name))
  const present = after.pools.flatMap((pool, index): Difference[] => {
    const previous = known.get(pool.name)
    const shared = { kind: 'service', name: formatName(pool.name), path: ['pools', index] } as const
    if (previous === undefined) return [{ ...shared, change: 'added', fields: [], effects: [] }]
    const engines = compareEngines(previous.engine, pool.engine, formatName)
    const fields = [...listFieldDifferences(previous, pool, POOL_FIELDS).map(row => row.field === 'healthPath' ? { ...row, before: formatName(previous.healthPath), after: formatName(pool.healthPath) } : row), ...engines.fields]
    return fields.length === 0 ? [] : [{ ...shared, change: 'changed', fields, effects: engines.effects }]
  })
  // What becomes of the requests of a removed service is said at its routes.
  const removed = before.pools.filter(({ name }) => !kept.has(name)).map((pool): Difference => ({ kind: 'service', change: 'removed', name: formatName(pool.name), fields: [], effects: [] }))
  return [...present, ...removed]
}

function compareLimits (before: CallerLimits, after: CallerLimits): Difference[] {
  return listFieldDifferences(before, after, Object.keys(LIMIT_EFFECTS) as Array<keyof CallerLimits>).map(row => {
    const field = row.field as keyof CallerLimits
    const isLower = after[field] < before[field]
    return { kind: 'limit', change: 'changed', name: field, path: ['limits', field], fields: [row], effects: isLower ? [createWarning(EffectCode.REQUESTS_REFUSED, LIMIT_EFFECTS[field](after[field]))] : [] }
  })
}

function listVersionEffects (before: number, after: number, hasDifferences: boolean): Effect[] {
  if (after > before || (after === before && !hasDifferences)) return []
  const text = `version ${after} is not higher than ${before}, so hosts keep the version in force`
  return [createWarning(EffectCode.VERSION_NOT_HIGHER, text)]
}

export interface ComparisonOptions {
  /** The version in force. */
  readonly before: RouteTable
  readonly after: RouteTable
  readonly hasKey: HasKey
}

/** Compares two tables that `checkRouteTable` accepts. */
export function compareRouteTables ({ before, after, hasKey }: ComparisonOptions): TableDifferences {
  const formatName = createFormatName(hasKey)
  const comparison = { before, after, formatName }
  const items = [...compareRoutes(comparison), ...comparePools(before, after, formatName), ...compareAccounts(comparison), ...compareLimits(before.limits, after.limits)]
  return { fromVersion: before.version, toVersion: after.version, items, effects: listVersionEffects(before.version, after.version, items.length > 0) }
}
