/** Lists limits of a route table that contradict each other. */
import type { Account, EnginePool, Route, RouteTable } from '@catkinferry/core.types'
import { QuotaUnit, RouteKind } from '@catkinferry/core.types'
import { FindingCode } from './findings.ts'
import type { FindingSource } from './findings.ts'
import type { FormatName } from './formatName.ts'

/** Largest usual request in tokens: requests have 200 to 2,400 (docs/design/accounts-origins-zones.md). */
export const LARGEST_REQUEST_TOKENS = 2_400
/** What the planned fleet serves at its peak, by unit of a quota (CONTRIBUTING.md). A configuration does not state the number of engines. */
export const FLEET_UNITS_PER_SECOND = { [QuotaUnit.TOKENS]: 9_300_000, [QuotaUnit.REQUESTS]: 22_000 } as const

function isRepeatable ({ kind, resumable }: Route): boolean {
  return kind === RouteKind.IDEMPOTENT || (kind === RouteKind.STREAM && resumable)
}

function listRouteContradictions (route: Route, formatName: FormatName): FindingSource[] {
  const { objectiveMs, timeoutMs, maxPauseMs, maxEndpoints } = route
  const found: FindingSource[] = []
  if (objectiveMs > timeoutMs) found.push({ code: FindingCode.OBJECTIVE_ABOVE_TIMEOUT, path: ['objectiveMs'], text: `route ${formatName(route.name)} has an objective of ${objectiveMs} ms, but its requests end after ${timeoutMs} ms` })
  if (maxPauseMs !== undefined && maxPauseMs > timeoutMs) found.push({ code: FindingCode.PAUSE_ABOVE_TIMEOUT, path: ['maxPauseMs'], text: `route ${formatName(route.name)} allows pauses of ${maxPauseMs} ms, but its requests end after ${timeoutMs} ms` })
  if (maxEndpoints > 1 && !isRepeatable(route)) found.push({ code: FindingCode.ATTEMPTS_WITHOUT_REPEAT, path: ['maxEndpoints'], text: `route ${formatName(route.name)} allows ${maxEndpoints} attempts, but its requests may not be repeated` })
  return found
}

function listQuotaContradictions ({ name, quota }: Account, formatName: FormatName): FindingSource[] {
  if (quota === undefined) return []
  const { unit, burst, ratePerSecond, plainUnits } = quota
  const found: FindingSource[] = []
  const largest = unit === QuotaUnit.TOKENS ? Math.max(LARGEST_REQUEST_TOKENS, plainUnits) : 1
  if (burst < largest) found.push({ code: FindingCode.BURST_BELOW_REQUEST, path: ['quota', 'burst'], text: `account ${formatName(name)} has a burst of ${burst} ${unit}, but one request may take ${largest}` })
  if (ratePerSecond > FLEET_UNITS_PER_SECOND[unit]) found.push({ code: FindingCode.QUOTA_ABOVE_CAPACITY, path: ['quota', 'ratePerSecond'], text: `account ${formatName(name)} may use ${ratePerSecond} ${unit} a second, but a fleet of the planned size serves ${FLEET_UNITS_PER_SECOND[unit]}` })
  return found
}

function listMemoryContradictions ({ weightsMb: memoryMb, adapterPlaces, models }: EnginePool, name: string, formatName: FormatName): FindingSource[] {
  return models.flatMap(({ model, weightsMb, adapterMb }, index): FindingSource[] => {
    if (weightsMb > memoryMb) return [{ code: FindingCode.MODEL_ABOVE_MEMORY, path: ['models', index, 'weightsMb'], text: `model ${formatName(model)} takes ${weightsMb} MB, but engines of service ${name} have ${memoryMb} MB` }]
    const neededMb = weightsMb + adapterPlaces * adapterMb
    return neededMb <= memoryMb ? [] : [{ code: FindingCode.ADAPTERS_ABOVE_MEMORY, path: ['models', index, 'adapterMb'], text: `model ${formatName(model)} with ${adapterPlaces} adapters takes ${neededMb} MB, but engines of service ${name} have ${memoryMb} MB` }]
  })
}

/** Priorities order requests only if there are at least two. All 0 is what a document without priorities says. */
function listPriorityContradictions ({ routes, accounts = [] }: RouteTable): FindingSource[] {
  const given = accounts.flatMap(({ priority }) => priority === undefined ? [] : [priority])
  const hasPublic = routes.some(({ isPublic }) => isPublic === true)
  const routePriorities = new Set(routes.map(({ priority }) => priority))
  const all = new Set([...given, ...routePriorities])
  if (routes.length + given.length > 1 && all.size === 1 && !all.has(0)) return [{ code: FindingCode.PRIORITIES_WITHOUT_EFFECT, path: ['routes', 0, 'priority'], text: `all routes and accounts have priority ${[...all].join()}` }]
  const replaced = accounts.length > 0 && given.length === accounts.length && routePriorities.size > 1 && !hasPublic
  return replaced ? [{ code: FindingCode.ROUTE_PRIORITIES_REPLACED, path: ['routes', 0, 'priority'], text: 'every account has a priority, so those of the routes have no effect' }] : []
}

export function listContradictions (table: RouteTable, formatName: FormatName): readonly FindingSource[] {
  const { routes, pools, accounts = [] } = table
  const place = (list: string, index: number, ...rest: readonly string[]) => (found: FindingSource): FindingSource => ({ ...found, path: [list, index, ...rest, ...found.path] })
  return [
    ...routes.flatMap((route, index) => listRouteContradictions(route, formatName).map(place('routes', index))),
    ...pools.flatMap(({ name, engine }, index) => engine === undefined ? [] : listMemoryContradictions(engine, formatName(name), formatName).map(place('pools', index, 'engine'))),
    ...accounts.flatMap((account, index) => listQuotaContradictions(account, formatName).map(place('accounts', index))),
    ...listPriorityContradictions(table)
  ]
}
