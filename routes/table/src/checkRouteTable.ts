/** Checks a whole version of the routes before it may be accepted. */
import type { Route, RouteTable } from '@catkinferry/core.types'

function listRouteProblems (route: Route, pools: ReadonlySet<string>): string[] {
  const problems: string[] = []
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) problems.push(`its path prefix '${route.pathPrefix}' does not begin and end with a slash`)
  if (route.timeoutMs <= 0) problems.push('its timeout is 0')
  if (route.maxEndpoints < 1) problems.push('it allows no endpoint')
  for (const { pool, weight } of route.shares) {
    if (!pools.has(pool)) problems.push(`it names the unknown service '${pool}'`)
    if (weight < 0) problems.push(`the weight of '${pool}' is negative`)
  }
  if (route.shares.reduce((sum, { weight }) => sum + weight, 0) <= 0) problems.push('its weights add up to 0')
  return problems.map(problem => `route '${route.name}': ${problem}`)
}

function listSharedPlaces (routes: readonly Route[]): string[] {
  const names = new Map<string, string>()
  const problems: string[] = []
  for (const { name, host, pathPrefix } of routes) {
    const place = host + pathPrefix
    const other = names.get(place)
    if (other === undefined) names.set(place, name)
    else problems.push(`routes '${other}' and '${name}' share ${place}`)
  }
  return problems
}

/** Lists everything that is wrong with a version; empty when it may be accepted. */
export function checkRouteTable (table: RouteTable): readonly string[] {
  const pools = new Set(table.pools.map(({ name }) => name))
  const problems = table.routes.flatMap(route => listRouteProblems(route, pools))
  if (!Number.isSafeInteger(table.version) || table.version < 0) problems.push(`the version ${table.version} is no whole number`)
  if (pools.size < table.pools.length) problems.push('two services have the same name')
  return [...problems, ...listSharedPlaces(table.routes)]
}
