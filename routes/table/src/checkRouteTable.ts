/** Validates a route table each time an operator sends one to a core host, before the host accepts it. */
import { checkAccounts } from '@catkinferry/accounts.keys'
import type { ConfigProblem, Route, RouteTable } from '@catkinferry/core.types'

function listRouteProblems (route: Route, pools: ReadonlySet<string>): ConfigProblem[] {
  const problems: ConfigProblem[] = []
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) problems.push({ path: ['pathPrefix'], text: 'must begin and end with a slash' })
  if (route.timeoutMs <= 0) problems.push({ path: ['timeoutMs'], text: 'must be greater than 0' })
  if (route.maxEndpoints < 1) problems.push({ path: ['maxEndpoints'], text: 'at least 1 endpoint per request must be allowed' })
  for (const [index, { pool, weight }] of route.shares.entries()) {
    if (!pools.has(pool)) problems.push({ path: ['shares', index, 'pool'], text: 'no service has this name' })
    if (weight < 0) problems.push({ path: ['shares', index, 'weight'], text: 'must not be negative' })
  }
  if (route.shares.reduce((sum, { weight }) => sum + weight, 0) <= 0) problems.push({ path: ['shares'], text: 'weights must add up to more than 0' })
  return problems
}

function listDuplicatePrefixes (routes: readonly Route[]): ConfigProblem[] {
  const indexesByPrefix = new Map<string, number>()
  const problems: ConfigProblem[] = []
  for (const [index, { host, pathPrefix }] of routes.entries()) {
    const prefix = host + pathPrefix
    const first = indexesByPrefix.get(prefix)
    if (first === undefined) indexesByPrefix.set(prefix, index)
    else problems.push({ path: ['routes', index, 'pathPrefix'], text: `route ${first} has the same host and path prefix` })
  }
  return problems
}

function listDuplicatePools ({ pools }: RouteTable): ConfigProblem[] {
  const indexesByName = new Map<string, number>()
  const problems: ConfigProblem[] = []
  for (const [index, { name }] of pools.entries()) {
    const first = indexesByName.get(name)
    if (first === undefined) indexesByName.set(name, index)
    else problems.push({ path: ['pools', index, 'name'], text: `service ${first} has the same name` })
  }
  return problems
}

/** Lists all problems of a route table; empty if it may be accepted. Their paths are those of the table. */
export function checkRouteTable (table: RouteTable): readonly ConfigProblem[] {
  const pools = new Set(table.pools.map(({ name }) => name))
  return [
    ...table.routes.flatMap((route, index) => listRouteProblems(route, pools).map(({ path, text }) => ({ path: ['routes', index, ...path], text }))),
    ...(Number.isSafeInteger(table.version) && table.version >= 0 ? [] : [{ path: ['version'], text: 'must be a non-negative integer' }]),
    ...listDuplicatePools(table),
    ...listDuplicatePrefixes(table.routes),
    ...checkAccounts(table.accounts ?? []).map(({ path, text }) => ({ path: ['accounts', ...path], text }))
  ]
}
