/** The route configuration: each version is complete, and only the highest is kept. */
import type { RouteTable } from '@catkinferry/core.types'
import type { CommandOutcome, RouteDocument } from '@catkinferry/wire.messages'

/** A version, parsed and as the document that the operator submitted. */
export interface StoredRoutes {
  readonly table: RouteTable
  readonly document: string
}

export interface RouteVersions {
  /** Replaces the stored version by a higher one. An equal or lower version changes nothing, whatever it contains. */
  readonly replace: (routes: StoredRoutes) => Extract<CommandOutcome, { kind: 'routes.held' }>
  readonly get: () => StoredRoutes | undefined
  readonly read: () => RouteDocument | undefined
  readonly load: (routes: StoredRoutes) => void
}

/** Creates an empty table. */
export function createRouteVersions (): RouteVersions {
  let stored: StoredRoutes | undefined
  return {
    replace: routes => {
      const replaced = stored === undefined || routes.table.version > stored.table.version
      if (replaced) stored = routes
      return { kind: 'routes.held', version: stored?.table.version ?? routes.table.version, replaced }
    },
    get: () => stored,
    read: () => stored === undefined ? undefined : { version: stored.table.version, document: stored.document },
    load: routes => { stored = routes }
  }
}
