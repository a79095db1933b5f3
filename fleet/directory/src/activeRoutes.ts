/**
 * The active route table of an entry host, by which the relay matches each request: the newest one received. It is never
 * replaced by an older version while the process runs.
 */
import type { Account, RouteTable } from '@catkinferry/core.types'
import { createRouteMatcher } from '@catkinferry/routes.table'
import type { RouteMatcher } from '@catkinferry/routes.table'

export interface ActiveRoutes {
  readonly table: RouteTable
  readonly matcher: RouteMatcher
  /** Finds the account of a key; absent if the table has no accounts. */
  readonly keys?: { readonly find: (key: string | undefined) => Account | undefined }
}

export interface RouteStore {
  readonly get: () => ActiveRoutes | undefined
  readonly getVersion: () => number
  /** Replaces the active table if `table` has a higher version. True if it was replaced. */
  readonly replace: (table: RouteTable) => boolean
}

/** Creates a store without routes. */
export function createRouteStore (): RouteStore {
  let active: ActiveRoutes | undefined
  return {
    get: () => active,
    getVersion: () => active?.table.version ?? 0,
    replace: table => {
      if (active !== undefined && table.version <= active.table.version) return false
      active = { table, matcher: createRouteMatcher(table) }
      return true
    }
  }
}
