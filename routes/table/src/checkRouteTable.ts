/** Validates a route table each time an operator sends one to a core host, before the host accepts it. */
import type { Route, RouteTable } from '@catkinferry/core.types'

function listRouteProblems (route: Route, pools: ReadonlySet<string>): string[] {
  const problems: string[] = []
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) problems.push(`path prefix '${route.pathPrefix}' must begin and end with a slash`)
  if (route.timeoutMs <= 0) problems.push('timeout must be greater than 0')
  if (route.maxEndpoints < 1) problems.push('at least 1 endpoint per request must be allowed')
  for (const { pool, weight } of route.shares) {
    if (!pools.has(pool)) problems.push(`unknown service '${pool}'`)
    if (weight < 0) problems.push(`weight of service '${pool}' must not be negative`)
  }
  if (route.shares.reduce((sum, { weight }) => sum + weight, 0) <= 0) problems.push('weights must add up to more than 0')
  return problems.map(problem => `route '${route.name}': ${problem}`)
}

function listDuplicatePrefixes (routes: readonly Route[]): string[] {
  const namesByPrefix = new Map<string, string>()
  const problems: string[] = []
  for (const { name, host, pathPrefix } of routes) {
    const prefix = host + pathPrefix
    const other = namesByPrefix.get(prefix)
    if (other === undefined) namesByPrefix.set(prefix, name)
    else problems.push(`routes '${other}' and '${name}' have the same host and path prefix ${prefix}`)
  }
  return problems
}

/** Lists all problems of a route table; empty if it may be accepted. */
export function checkRouteTable (table: RouteTable): readonly string[] {
  const pools = new Set(table.pools.map(({ name }) => name))
  const problems = table.routes.flatMap(route => listRouteProblems(route, pools))
  if (!Number.isSafeInteger(table.version) || table.version < 0) problems.push(`version ${table.version} must be a non-negative integer`)
  if (pools.size < table.pools.length) problems.push('two services have the same name')
  return [...problems, ...listDuplicatePrefixes(table.routes)]
}
