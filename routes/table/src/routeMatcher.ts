/**
 * Finds the route of a request, by the longest matching path prefix of its host, and chooses a pool by the route's shares.
 * Used by the relay for each request.
 */
import type { Route, RouteShare, RouteTable } from '@catkinferry/core.types'

export interface RouteMatcher {
  /** `host` as sent, with or without a port; `path` without a query. */
  readonly match: (host: string, path: string) => Route | undefined
}

function normalizeHost (host: string): string {
  const name = host.toLowerCase()
  const colon = name.lastIndexOf(':')
  return colon > name.lastIndexOf(']') ? name.slice(0, colon) : name
}

/** Builds the index of one route table. */
export function createRouteMatcher ({ routes }: Pick<RouteTable, 'routes'>): RouteMatcher {
  const routesByPrefix = new Map(routes.map(route => [route.host + route.pathPrefix, route]))

  return {
    match: (host, path) => {
      const name = normalizeHost(host)
      for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
        const route = routesByPrefix.get(name + path.slice(0, end + 1))
        if (route !== undefined) return route
        if (end === 0) return undefined
      }
      return undefined
    }
  }
}

/** Chooses a pool by weight. `fraction` is from 0 (inclusive) to 1 (exclusive). Throws a RangeError if no share has a weight. */
export function choosePool (shares: readonly RouteShare[], fraction: number): string {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = fraction * total
  for (const { pool, weight } of shares) {
    if (remaining < weight) return pool
    remaining -= weight
  }
  const last = shares.findLast(({ weight }) => weight > 0)
  if (last === undefined) throw new RangeError('no share of the route has a weight greater than 0')
  return last.pool
}
