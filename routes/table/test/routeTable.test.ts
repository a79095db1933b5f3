import type { Route, RouteTable } from '@catkinferry/core.types'
import { checkRouteTable, createRouteMatcher, choosePool } from '@catkinferry/routes.table'
import { expect } from 'earl'
import { describe, it } from 'node:test'

function buildRoute (changes: Partial<Route> = {}): Route {
  return {
    name: 'r1',
    host: 'a.example',
    pathPrefix: '/x/',
    kind: 'stream',
    resumable: false,
    timeoutMs: 1_000,
    objectiveMs: 100,
    priority: 0,
    maxEndpoints: 1,
    shares: [{ pool: 'p', weight: 1 }],
    ...changes
  }
}

function buildTable (routes: readonly Route[]): RouteTable {
  return {
    version: 1,
    routes,
    pools: [{ name: 'p', healthPath: '/h', maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

describe('checkRouteTable', () => {
  const invalid: ReadonlyArray<readonly [string, RouteTable, string]> = [
    ['an unknown service', buildTable([buildRoute({ shares: [{ pool: 'q', weight: 1 }] })]), "route 'r1': unknown service 'q'"],
    ['weights of 0', buildTable([buildRoute({ shares: [{ pool: 'p', weight: 0 }] })]), "route 'r1': weights must add up to more than 0"],
    ['a timeout of 0', buildTable([buildRoute({ timeoutMs: 0 })]), "route 'r1': timeout must be greater than 0"],
    ['a duplicate host and path prefix', buildTable([buildRoute(), buildRoute({ name: 'r2' })]), "routes 'r1' and 'r2' have the same host and path prefix a.example/x/"]
  ]
  for (const [name, table, problem] of invalid) {
    it(`rejects ${name}`, () => { expect(checkRouteTable(table)).toEqual([problem]) })
  }

  it('accepts the same prefix on two hosts', () => {
    expect(checkRouteTable(buildTable([buildRoute(), buildRoute({ name: 'r2', host: 'b.example' })]))).toEqual([])
  })
})

describe('createRouteMatcher', () => {
  const matcher = createRouteMatcher(buildTable([buildRoute(), buildRoute({ name: 'long', pathPrefix: '/x/y/' })]))

  it('matches the longest prefix', () => {
    expect(matcher.match('a.example', '/x/y/z')?.name).toEqual('long')
    expect(matcher.match('A.example:80', '/x/yz')?.name).toEqual('r1')
  })

  it('matches only whole path segments of the same host', () => {
    expect(matcher.match('a.example', '/xy/z')).toEqual(undefined)
    expect(matcher.match('a.example', '/x')).toEqual(undefined)
    expect(matcher.match('b.example', '/x/y/')).toEqual(undefined)
  })
})

describe('choosePool', () => {
  const shares = [{ pool: 'a', weight: 90 }, { pool: 'b', weight: 10 }, { pool: 'c', weight: 0 }]

  it('chooses pools in proportion to their weights', () => {
    expect(choosePool(shares, 0)).toEqual('a')
    expect(choosePool(shares, 0.899)).toEqual('a')
    expect(choosePool(shares, 0.9)).toEqual('b')
    expect(choosePool(shares, 0.9999)).toEqual('b')
  })
})
