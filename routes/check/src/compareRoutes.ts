/** Compares the routes of two route tables. */
import { isDeepStrictEqual } from 'node:util'
import type { Route, RouteShare, RouteTable } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'
import { createRouteMatcher } from '@catkinferry/routes.table'
import { createNote, createWarning, EffectCode, listFieldDifferences } from './effects.ts'
import type { Difference, Effect } from './effects.ts'
import type { FormatName } from './formatName.ts'

const FIELDS = ['name', 'kind', 'resumable', 'timeoutMs', 'objectiveMs', 'maxPauseMs', 'priority', 'maxEndpoints', 'isPublic'] as const satisfies ReadonlyArray<keyof Route>
const PERCENT = 100

export interface RouteComparison {
  readonly before: RouteTable
  readonly after: RouteTable
  readonly formatName: FormatName
}

/** Computes the percentage of a route's requests that each service gets. */
function computePercentages (shares: readonly RouteShare[]): ReadonlyMap<string, number> {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0)
  const percentages = new Map<string, number>()
  for (const { pool, weight } of shares) if (weight > 0) percentages.set(pool, (percentages.get(pool) ?? 0) + weight / total * PERCENT)
  return percentages
}

function describeShares (shares: readonly RouteShare[], formatName: FormatName): string {
  return [...computePercentages(shares)].map(([pool, percentage]) => `${Math.round(percentage * 10) / 10} % to ${formatName(pool)}`).join(', ')
}

function isSameShares (before: Route, after: Route): boolean {
  const [first, second] = [computePercentages(before.shares), computePercentages(after.shares)]
  return first.size === second.size && [...first].every(([pool, percentage]) => Math.abs((second.get(pool) ?? 0) - percentage) < 1e-9)
}

function listShareEffects (before: Route, after: Route, formatName: FormatName): Effect[] {
  if (isSameShares(before, after)) return []
  const kept = computePercentages(after.shares)
  const dropped = [...computePercentages(before.shares).keys()].filter(pool => !kept.has(pool))
  return [
    createNote(EffectCode.REQUESTS_MOVE, `requests go ${describeShares(after.shares, formatName)} instead of ${describeShares(before.shares, formatName)}`),
    ...(before.kind === RouteKind.STREAM && dropped.length > 0 ? [createWarning(EffectCode.STREAMS_BREAK, `streams that began at ${dropped.map(formatName).join(', ')} cannot be resumed there`)] : [])
  ]
}

function listStreamEffects (before: Route, after: Route): Effect[] {
  if (before.kind !== RouteKind.STREAM) return []
  if (after.kind !== RouteKind.STREAM) return [createWarning(EffectCode.STREAMS_BREAK, 'requests are no longer served as streams')]
  return before.resumable && !after.resumable ? [createWarning(EffectCode.STREAMS_BREAK, 'broken streams can no longer be resumed')] : []
}

function listKeyEffects (before: Route, after: Route, { accounts }: RouteTable): Effect[] {
  if (accounts === undefined || before.isPublic === after.isPublic) return []
  return after.isPublic === true
    ? [createWarning(EffectCode.KEYS_NOT_REQUIRED, 'requests without a key are served')]
    : [createWarning(EffectCode.KEYS_REQUIRED, 'requests without a key are refused (401)')]
}

/** Effects on requests that `before` served and `after` serves. */
function listEffects (before: Route, after: Route, { after: table, formatName }: RouteComparison): Effect[] {
  return [
    ...listKeyEffects(before, after, table),
    ...listShareEffects(before, after, formatName),
    ...listStreamEffects(before, after),
    ...(after.timeoutMs < before.timeoutMs ? [createWarning(before.kind === RouteKind.STREAM ? EffectCode.STREAMS_BREAK : EffectCode.REQUESTS_ENDED, `requests end after ${after.timeoutMs} ms instead of ${before.timeoutMs} ms`)] : [])
  ]
}

function listRemovalEffects (route: Route, next: Route | undefined, comparison: RouteComparison): Effect[] {
  if (next !== undefined) return [createNote(EffectCode.REQUESTS_MOVE, `requests match route ${comparison.formatName(next.name)} instead`), ...listEffects(route, next, comparison)]
  return [createWarning(EffectCode.REQUESTS_REFUSED, 'requests match no route and are refused'), ...(route.kind === RouteKind.STREAM ? [createWarning(EffectCode.STREAMS_BREAK, 'broken streams cannot be resumed')] : [])]
}

function listAdditionEffects (route: Route, previous: Route | undefined, comparison: RouteComparison): Effect[] {
  if (previous === undefined) return [createNote(EffectCode.REQUESTS_SERVED, `requests go ${describeShares(route.shares, comparison.formatName)}`)]
  return [createNote(EffectCode.REQUESTS_MOVE, `requests matched route ${comparison.formatName(previous.name)} before`), ...listEffects(previous, route, comparison)]
}

function listSharesDifference (before: Route, after: Route, formatName: FormatName) {
  const describe = (shares: readonly RouteShare[]): string => shares.map(({ pool, weight }) => `${weight} to ${formatName(pool)}`).join(', ')
  return isDeepStrictEqual(before.shares, after.shares) ? [] : [{ field: 'shares', before: describe(before.shares), after: describe(after.shares) }]
}

/** Routes are the same if host and path prefix are. */
export function compareRoutes (comparison: RouteComparison): readonly Difference[] {
  const { before, after, formatName } = comparison
  const getKey = ({ host, pathPrefix }: Route): string => host + pathPrefix
  const [matcherBefore, matcherAfter] = [createRouteMatcher(before), createRouteMatcher(after)]
  const known = new Map(before.routes.map(route => [getKey(route), route]))
  const kept = new Set(after.routes.map(getKey))
  const describe = ({ host, pathPrefix }: Route): string => formatName(host + pathPrefix)
  const formatField = (route: Route): Route => ({ ...route, name: formatName(route.name) })

  const present = after.routes.flatMap((route, index): Difference[] => {
    const previous = known.get(getKey(route))
    const build = (): Pick<Difference, 'kind' | 'name' | 'path'> => ({ kind: 'route', name: describe(route), path: ['routes', index] })
    if (previous === undefined) return [{ ...build(), change: 'added', fields: [], effects: listAdditionEffects(route, matcherBefore.match(route.host, route.pathPrefix), comparison) }]
    const fields = [...listFieldDifferences(previous, route, FIELDS).map(row => row.field === 'name' ? { ...row, before: formatField(previous).name, after: formatField(route).name } : row), ...listSharesDifference(previous, route, formatName)]
    return fields.length === 0 ? [] : [{ ...build(), change: 'changed', fields, effects: listEffects(previous, route, comparison) }]
  })
  const removed = before.routes.filter(route => !kept.has(getKey(route))).map((route): Difference => ({ kind: 'route', change: 'removed', name: describe(route), fields: [], effects: listRemovalEffects(route, matcherAfter.match(route.host, route.pathPrefix), comparison) }))
  return [...present, ...removed]
}
