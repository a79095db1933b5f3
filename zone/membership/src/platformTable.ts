/**
 * The endpoints of a zone, merged from successive platform lists. A list may lag or miss entries, so an endpoint is removed only
 * after it was missing repeatedly. Every host keeps one and updates it with each platform list that it receives; the lease
 * holder assigns owners to the endpoints in it.
 */
import type { EndpointId, EndpointRow, ZoneId } from '@catkinferry/core.types'

/** An endpoint missing from this many lists in a row counts as leaving. */
const LISTS_UNTIL_LEAVING = 2
/** An endpoint missing from this many lists in a row is removed. */
const LISTS_UNTIL_REMOVED = 10

/** What a list changed: rows that are new or different, and endpoints that were removed. */
export interface PlatformChange {
  readonly put: readonly EndpointRow[]
  readonly removed: readonly EndpointId[]
}

export interface PlatformTable {
  readonly receiveList: (rows: readonly EndpointRow[]) => PlatformChange
  readonly get: (endpoint: EndpointId) => EndpointRow | undefined
  readonly rows: () => readonly EndpointRow[]
  /** Adds rows learned from an earlier lease holder, unless the endpoint is known. */
  readonly addKnown: (rows: readonly EndpointRow[]) => void
}

function isSameRow (a: EndpointRow, b: EndpointRow): boolean {
  return a.url === b.url && a.pool === b.pool && a.kind === b.kind && a.leaving === b.leaving && a.model === b.model
}

/** Creates a table of the endpoints of one zone. */
export function createPlatformTable (opts: { readonly zone: ZoneId }): PlatformTable {
  const known = new Map<EndpointId, { row: EndpointRow, missing: number }>()

  function putRow (row: EndpointRow, put: EndpointRow[]): void {
    const old = known.get(row.endpoint)
    known.set(row.endpoint, { row, missing: 0 })
    if (old === undefined || !isSameRow(old.row, row)) put.push(row)
  }

  function countMissing (listed: ReadonlySet<EndpointId>, put: EndpointRow[], removed: EndpointId[]): void {
    for (const [endpoint, entry] of known) {
      if (listed.has(endpoint)) continue
      entry.missing++
      if (entry.missing >= LISTS_UNTIL_REMOVED) {
        known.delete(endpoint)
        removed.push(endpoint)
      } else if (entry.missing >= LISTS_UNTIL_LEAVING && !entry.row.leaving) {
        entry.row = { ...entry.row, leaving: true }
        put.push(entry.row)
      }
    }
  }

  return {
    receiveList: rows => {
      const put: EndpointRow[] = []
      const removed: EndpointId[] = []
      const listed = new Set<EndpointId>()
      for (const row of rows) {
        if (row.zone !== opts.zone) continue
        listed.add(row.endpoint)
        putRow(row, put)
      }
      countMissing(listed, put, removed)
      return { put, removed }
    },
    get: endpoint => known.get(endpoint)?.row,
    rows: () => [...known.values()].map(({ row }) => row),
    addKnown: rows => {
      for (const row of rows) if (!known.has(row.endpoint)) known.set(row.endpoint, { row, missing: 0 })
    }
  }
}
