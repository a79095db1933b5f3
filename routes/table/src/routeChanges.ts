/**
 * Differences between two versions of the route table, and the compact form of a whole one. Core hosts send them to entry hosts:
 * a change of a few routes must not cost the size of the table for each host.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { Route, RouteChanges, RouteTable } from '@catkinferry/core.types'
import { applyAccountChanges, computeAccountChanges } from './accountChanges.ts'

/** Fastest level: the table is sent once for each version, and the processor of a core host is small. */
const DEFLATE_LEVEL = 1
/** Largest unpacked table that is accepted. */
const MAX_TABLE_BYTES = 64 * 1024 * 1024

/** Identifies a route within its table: no two routes share host and prefix. */
function getKey ({ host, pathPrefix }: Route): string {
  return host + pathPrefix
}

/** Computes what leads from one version to a later one. */
export function computeRouteChanges (before: RouteTable, after: RouteTable): RouteChanges {
  const known = new Map(before.routes.map(route => [getKey(route), JSON.stringify(route)]))
  const set = after.routes.filter(route => known.get(getKey(route)) !== JSON.stringify(route))
  const kept = new Set(after.routes.map(getKey))
  const removed = [...known.keys()].filter(key => !kept.has(key))
  const { version, pools, limits } = after
  const accounts = computeAccountChanges(before.accounts, after.accounts)
  return { from: before.version, version, set, removed, pools, limits, ...(accounts === undefined ? {} : { accounts }) }
}

/** Applies changes to the version that they start from. Throws a RangeError for another version. */
export function applyRouteChanges (before: RouteTable, { from, version, set, removed, pools, limits, accounts: accountChanges }: RouteChanges): RouteTable {
  if (before.version !== from) throw new RangeError(`the changes start from version ${from}, not ${before.version}`)
  const routes = new Map(before.routes.map(route => [getKey(route), route]))
  for (const key of removed) routes.delete(key)
  for (const route of set) routes.set(getKey(route), route)
  const accounts = applyAccountChanges(before.accounts, accountChanges)
  return { version, routes: [...routes.values()], pools, limits, ...(accounts === undefined ? {} : { accounts }) }
}

/** Packs a table as deflated JSON. */
export function packRouteTable (table: RouteTable): Uint8Array {
  return deflateRawSync(JSON.stringify(table), { level: DEFLATE_LEVEL })
}

/** Throws if the bytes are no packed table. */
export function unpackRouteTable (packed: Uint8Array): RouteTable {
  return JSON.parse(inflateRawSync(packed, { maxOutputLength: MAX_TABLE_BYTES }).toString()) as RouteTable
}
