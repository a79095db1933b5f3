/** The active route table of an entry host, the newest one received. It is never replaced by an older version while the process runs. */
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
  /** Replaces the active table if `table` has a higher version. True if it was replaced. */
  readonly replace: (table: RouteTable) => boolean
}

/** Creates a store without routes. */
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
