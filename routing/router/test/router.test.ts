import { describe, it } from 'node:test'
import type { EndpointView, ZoneSummary, ZoneView } from '@catkinferry/core.types'
import { expect } from 'earl'
import { createPrefixIndex, createRouter } from '../src/index.ts'
import type { RouteRequest, Router, RouterWeights } from '../src/index.ts'

const WEIGHTS: RouterWeights = { loadStallWeight: 1, batchFillWeight: 1, prefixMissMs: 40, spillCostPerKilobyteMs: 5, spillQueueMs: 500 }

function createView (opts: Partial<EndpointView> & { endpoint: string }): EndpointView {
  return {
    kind: 'engine',
    zone: 'a',
    region: 'r',
    url: '',
    pool: 'p',
    leaving: false,
    owner: 'h2',
    fencing: 1,
    isResident: () => false,
    isLoading: () => false,
    running: 0,
    waiting: 0,
    batchLimit: 8,
    slots: 4,
    freeSlots: 4,
    expectedLoadMs: 250,
    expectedRunMs: 1_000,
    reportAgeMs: 500,
    ...opts
  }
}

function createTestRouter (endpoints: EndpointView[], zones: ZoneSummary[] = []): Router {
  const zone = { listEndpoints: () => endpoints, listOtherZones: () => zones } as unknown as ZoneView
  return createRouter({ self: { host: 'h1', zone: 'a', region: 'r' }, zone, isAllowed: () => true })
}

function createRouteRequest (opts: Partial<RouteRequest> = {}): RouteRequest {
  return { pool: 'p', adapterKey: 'a1@v1', getPayloadBytes: () => 100, now: 1_000, isAvoided: () => false, mayLeaveZone: true, ...opts }
}

function choose (router: Router, request: Partial<RouteRequest> = {}, weights: Partial<RouterWeights> = {}): string {
  const choice = router.choose(createRouteRequest(request), { ...WEIGHTS, ...weights })
  if (choice.kind === 'endpoint') return choice.endpoint.endpoint
  return choice.kind === 'zone' ? choice.summary.zone : choice.reason
}

describe('createRouter', () => {
  it('prefers the endpoint that has the adapter, until its queue costs more than a load', () => {
    const busy = { isResident: () => true, running: 8 }
    expect(choose(createTestRouter([createView({ endpoint: 'warm', ...busy }), createView({ endpoint: 'cold' })]))).toEqual('warm')
    expect(choose(createTestRouter([createView({ endpoint: 'warm', ...busy, waiting: 8 }), createView({ endpoint: 'cold' })]))).toEqual('cold')
  })

  it('fills batches or avoids loads, depending on the weights', () => {
    const endpoints = [
      createView({ endpoint: 'empty', isResident: () => true }),
      createView({ endpoint: 'full', running: 6, isLoading: () => true })
    ]
    expect(choose(createTestRouter(endpoints), {}, { loadStallWeight: 4 })).toEqual('empty')
    expect(choose(createTestRouter(endpoints), {}, { loadStallWeight: 0.25, batchFillWeight: 4 })).toEqual('full')
  })

  it('chooses the same endpoint for a cold adapter in any order of idle endpoints', () => {
    const endpoints = Array.from({ length: 12 }, (_, index) => createView({ endpoint: `e${index}` }))
    const first = choose(createTestRouter(endpoints))
    expect(choose(createTestRouter([...endpoints].reverse()))).toEqual(first)
  })

  it('counts its own grant requests that no report includes yet', () => {
    const endpoints = ['e1', 'e2'].map(endpoint => createView({ endpoint, isResident: () => true, running: 7 }))
    const router = createTestRouter(endpoints)
    const first = choose(router)
    router.recordGrantRequest(first, 'a1@v1', 1_000)
    router.recordGrantRequest(first, 'a1@v1', 1_000)
    expect(choose(router)).not.toEqual(first)
    expect(choose(router, { now: 2_000 })).toEqual(first)
  })

  it('prefers the endpoint that has the prefix of the prompt in its cache', () => {
    const router = createTestRouter(['e1', 'e2'].map(endpoint => createView({ endpoint, isResident: () => true })))
    router.receiveCacheEvent('e2', 'stored', ['p1'], 900)
    router.receiveCacheEvent('e1', 'stored', ['p2'], 900)
    expect([choose(router, { prefixHash: 'p1' }), choose(router, { prefixHash: 'p2' })]).toEqual(['e2', 'e1'])
  })

  it('spills only when its own queue costs more, to its own region first', () => {
    const far = { zone: 'far', region: 'other', contact: 'x', freeCapacity: 4, queueMs: 0, ageMs: 100 }
    const near = { ...far, zone: 'near', region: 'r' }
    const idle = createView({ endpoint: 'e1' })
    const swamped = createView({ endpoint: 'e1', running: 8, waiting: 40 })
    expect(choose(createTestRouter([idle], [near]))).toEqual('e1')
    expect(choose(createTestRouter([swamped], [far, near]))).toEqual('near')
    expect(choose(createTestRouter([swamped], [{ ...near, ageMs: 13_000 }]))).toEqual('e1')
    expect(choose(createTestRouter([swamped], [far]), { getPayloadBytes: () => 100_000 })).toEqual('e1')
  })

  it('sends a cold adapter to its home zone in the region, unless it is resident here or that zone is full', () => {
    const near = { zone: 'near', region: 'r', contact: 'x', freeCapacity: 4, queueMs: 0, ageMs: 100 }
    const cold = [createView({ endpoint: 'e1' })]
    const keys = Array.from({ length: 40 }, (_, index) => `a${index}@v1`)
    const chosen = keys.map(adapterKey => choose(createTestRouter(cold, [near]), { adapterKey }))
    expect(new Set(chosen)).toEqual(new Set(['e1', 'near']))
    const moved = keys[chosen.indexOf('near')] ?? ''
    expect(choose(createTestRouter([createView({ endpoint: 'e1', isResident: () => true })], [near]), { adapterKey: moved })).toEqual('e1')
    expect(choose(createTestRouter(cold, [{ ...near, freeCapacity: 0 }]), { adapterKey: moved })).toEqual('e1')
    expect(choose(createTestRouter(cold, [{ ...near, region: 'other' }]), { adapterKey: moved })).toEqual('e1')
  })

  it('never chooses a leaving endpoint', () => {
    expect(choose(createTestRouter([createView({ endpoint: 'e1', leaving: true })]))).toEqual('noEndpoint')
  })
})

describe('createPrefixIndex', () => {
  it('does not let a late dropped event undo a newer dispatch, and expires entries', () => {
    const index = createPrefixIndex()
    index.recordDispatch('p1', 1_000)
    index.recordDropped('p1', 2_000)
    expect(index.has('p1', 2_000)).toEqual(true)
    index.recordDropped('p1', 5_000)
    expect(index.has('p1', 5_000)).toEqual(false)
    index.recordStored('p2', 5_000)
    expect(index.has('p2', 400_000)).toEqual(false)
  })
})
