/** The route configuration: whole versions, of which the highest is kept. */
import type { RouteTable } from '@catkinferry/core.types'
import type { CommandOutcome, RouteDocument } from '@catkinferry/wire.messages'

/** A version with the operator's own text of it. */
export interface HeldRoutes {
  readonly table: RouteTable
  readonly document: string
}

export interface RouteVersions {
  /** A version that is not higher than the one held changes nothing, whatever it contains. */
  readonly replace: (routes: HeldRoutes) => Extract<CommandOutcome, { kind: 'routes.held' }>
  readonly get: () => HeldRoutes | undefined
  readonly read: () => RouteDocument | undefined
  readonly load: (routes: HeldRoutes) => void
}

/** Creates a table that holds no version yet. */
export function createRouteVersions (): RouteVersions {
  let held: HeldRoutes | undefined
  return {
    replace: routes => {
      const replaced = held === undefined || routes.table.version > held.table.version
      if (replaced) held = routes
      return { kind: 'routes.held', version: held?.table.version ?? routes.table.version, replaced }
    },
    get: () => held,
    read: () => held === undefined ? undefined : { version: held.table.version, document: held.document },
    load: routes => { held = routes }
  }
}
