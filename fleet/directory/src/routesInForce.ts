/** The route version in force at this host; within one life it never goes back. */
import type { RouteTable } from '@catkinferry/core.types'
import { createRouteMatcher } from '@catkinferry/routes.table'
import type { RouteMatcher } from '@catkinferry/routes.table'

export interface RoutesInForce {
  readonly table: RouteTable
  readonly matcher: RouteMatcher
}

export interface RouteHolder {
  readonly get: () => RoutesInForce | undefined
  readonly getVersion: () => number
  /** True where the version is higher than the one in force, and now is. */
  readonly replace: (table: RouteTable) => boolean
}

/** Creates a holder without routes. */
export function createRouteHolder (): RouteHolder {
  let inForce: RoutesInForce | undefined
  return {
    get: () => inForce,
    getVersion: () => inForce?.table.version ?? 0,
    replace: table => {
      if (inForce !== undefined && table.version <= inForce.table.version) return false
      inForce = { table, matcher: createRouteMatcher(table) }
      return true
    }
  }
}
