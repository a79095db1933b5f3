/** Lists entries of a route table that no request can ever use. */
import type { Pool, Route, RouteTable } from '@catkinferry/core.types'
import { createRouteMatcher } from '@catkinferry/routes.table'
import { FindingCode } from './findings.ts'
import type { FindingSource } from './findings.ts'
import type { FormatName } from './formatName.ts'

/** Characters that no `Host` header has; `*` is no wildcard here. */
const IMPOSSIBLE_IN_HOST = /[^!-~]|[/?#@*\\]/
/** Characters that no request path has: the query and fragment are cut off, and clients encode the rest. */
const IMPOSSIBLE_IN_PATH = /[^!-~]|[?#\\]/
/** Clients resolve these before they send a request. */
const DOT_SEGMENT = /\/\.{1,2}\//

function listUnmatchable ({ routes }: RouteTable, formatName: FormatName): FindingSource[] {
  return routes.flatMap((route, index): FindingSource[] => {
    const { name, host, pathPrefix } = route
    const matcher = createRouteMatcher({ routes: [route] })
    const hasHost = !IMPOSSIBLE_IN_HOST.test(host) && matcher.match(host, pathPrefix) !== undefined
    const hasPath = !IMPOSSIBLE_IN_PATH.test(pathPrefix) && !DOT_SEGMENT.test(pathPrefix)
    return [
      ...(hasHost ? [] : [{ code: FindingCode.HOST_NEVER_MATCHES, path: ['routes', index, 'host'], text: `no request matches the host of route ${formatName(name)}` }]),
      ...(hasPath ? [] : [{ code: FindingCode.PATH_NEVER_MATCHES, path: ['routes', index, 'pathPrefix'], text: `no request matches the path prefix of route ${formatName(name)}` }])
    ]
  })
}

/** Why no endpoint of a service can serve a request; undefined if one can. */
function explainIdle ({ engine, maxConnections }: Pool): string | undefined {
  if (maxConnections <= 0) return 'allows no connections'
  if (engine === undefined) return undefined
  if (engine.batchLimit <= 0) return 'has engines without slots'
  return engine.models.length === 0 ? 'has engines without models' : undefined
}

function listUnusedServices ({ routes, pools }: RouteTable, formatName: FormatName): FindingSource[] {
  const used = new Set(routes.flatMap(({ shares }) => shares.filter(({ weight }) => weight > 0).map(({ pool }) => pool)))
  return pools.flatMap((pool, index): FindingSource[] => {
    const path = ['pools', index, 'name']
    if (!used.has(pool.name)) return [{ code: FindingCode.SERVICE_WITHOUT_ROUTE, path, text: `no route sends requests to service ${formatName(pool.name)}` }]
    const reason = explainIdle(pool)
    return reason === undefined ? [] : [{ code: FindingCode.SERVICE_CANNOT_SERVE, path, text: `service ${formatName(pool.name)} ${reason}, so its requests fail` }]
  })
}

function listIdleShares (routes: readonly Route[], formatName: FormatName): FindingSource[] {
  return routes.flatMap(({ name, shares }, index) => shares.flatMap(({ pool, weight }, position) => weight > 0 ? [] : [{ code: FindingCode.SHARE_WITHOUT_WEIGHT, path: ['routes', index, 'shares', position, 'weight'], text: `route ${formatName(name)} sends nothing to service ${formatName(pool)}` }]))
}

function listUnusedAccounts ({ routes, accounts }: RouteTable, formatName: FormatName): FindingSource[] {
  if (accounts === undefined) return routes.flatMap(({ isPublic, name }, index) => isPublic === true ? [{ code: FindingCode.PUBLIC_WITHOUT_EFFECT, path: ['routes', index, 'isPublic'], text: `route ${formatName(name)} is public, but no route requires a key` }] : [])
  const withoutKeys = accounts.flatMap(({ name, keyDigests }, index) => keyDigests.length > 0 ? [] : [{ code: FindingCode.ACCOUNT_WITHOUT_KEY, path: ['accounts', index, 'keyDigests'], text: `account ${formatName(name)} has no key, so nobody can use it` }])
  const closed = routes.filter(({ isPublic }) => isPublic !== true).length
  if (closed > 0 && withoutKeys.length === accounts.length) return [...withoutKeys, { code: FindingCode.NO_KEY_ACCEPTED, path: ['accounts'], text: `no account has a key, so all requests to ${closed} of ${routes.length} routes are refused` }]
  if (closed === 0 && routes.length > 0) return [...withoutKeys, { code: FindingCode.KEYS_WITHOUT_EFFECT, path: ['accounts'], text: 'all routes are public, so no request needs a key' }]
  return withoutKeys
}

export function listUnusedEntries (table: RouteTable, formatName: FormatName): readonly FindingSource[] {
  return [...listUnmatchable(table, formatName), ...listIdleShares(table.routes, formatName), ...listUnusedServices(table, formatName), ...listUnusedAccounts(table, formatName)]
}
