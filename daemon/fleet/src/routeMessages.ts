/**
 * Messages that bring entry hosts to the newest route table: the changes from a recent version, or the whole table. Each is built
 * once for all hosts, so that the peer links encode it once.
 */
import type { RouteChanges, RouteTable } from '@catkinferry/core.types'
import { computeRouteChanges, packRouteTable } from '@catkinferry/routes.table'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Versions from which changes can be sent. */
const MAX_RECENT_TABLES = 16
/** Tables with more routes and accounts than this are packed. */
const MAX_UNPACKED_ROWS = 64
/** Share of the rows from which the packed table is smaller than the changes: an account takes 240 bytes in changes and 85 packed. */
const MAX_CHANGED_ACCOUNTS_SHARE = 0.25

export interface RouteMessages {
  /** Sets the newest table; one that is set already changes nothing. */
  readonly setTable: (table: RouteTable) => void
  /** Undefined if the table of `from` is no longer known here, or was never, or if the whole table takes fewer bytes. */
  readonly findChanges: (from: number) => FleetMessage | undefined
  readonly getWhole: () => FleetMessage
  /** Whether the whole table is so large that it should be sent to a host once only. */
  readonly isLarge: () => boolean
}

function countRows ({ routes, accounts }: RouteTable): number {
  return routes.length + (accounts?.length ?? 0)
}

/** Whether so many accounts have changed that the packed table takes fewer bytes, as when an operator first sends accounts. */
function isLargerThanTable ({ accounts }: RouteChanges, table: RouteTable): boolean {
  const changed = accounts?.set.length ?? 0
  return changed > MAX_UNPACKED_ROWS && changed > countRows(table) * MAX_CHANGED_ACCOUNTS_SHARE
}

/** Creates messages of an empty table. */
export function createRouteMessages (): RouteMessages {
  let current: RouteTable = { version: 0, routes: [], pools: [], limits: { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 } }
  let recent: RouteTable[] = []
  let whole: FleetMessage | undefined
  const messages = new Map<number, FleetMessage | undefined>()

  const isLarge = (): boolean => countRows(current) > MAX_UNPACKED_ROWS

  return {
    isLarge,
    setTable: table => {
      if (table.version === current.version) return
      recent = [...recent, current].slice(-MAX_RECENT_TABLES)
      current = table
      whole = undefined
      messages.clear()
    },
    findChanges: from => {
      const base = from === 0 ? undefined : recent.find(({ version }) => version === from)
      if (base === undefined) return undefined
      if (!messages.has(from)) {
        const changes = computeRouteChanges(base, current)
        messages.set(from, isLargerThanTable(changes, current) ? undefined : { kind: 'fleet.routeChanges', changes })
      }
      return messages.get(from)
    },
    getWhole: () => {
      whole ??= isLarge() ? { kind: 'fleet.packedRoutes', version: current.version, packed: packRouteTable(current) } : { kind: 'fleet.routes', table: current }
      return whole
    }
  }
}
