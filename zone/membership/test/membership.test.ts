/** Tables of platform lists, zone views, endpoint states and digests. */
import type { EndpointRow, PeerRow } from '@catkinferry/core.types'
import type { MembershipMessage } from '@catkinferry/wire.messages'
import { createPlatformTable, createZoneDigests, createZoneTable } from '@catkinferry/zone.membership'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const createRow = (endpoint: string, leaving = false): EndpointRow => ({ endpoint, kind: 'engine', zone: 'z', region: 'r', url: 'u', pool: 'p', leaving })

type View = Extract<MembershipMessage, { kind: 'member.view' }>
const createView = (sequence: number, after: number, full: boolean, endpoints: readonly string[], removed: readonly string[] = []): View => ({
  kind: 'member.view', zone: 'z', ballot: 1, sequence, after, full, hosts: ['h1'], endpoints: endpoints.map(endpoint => ({ row: createRow(endpoint), owner: 'h1', fencing: 1 })), removed, zones: []
})

describe('createPlatformTable', () => {
  it('marks an endpoint missing from two lists as leaving, unmarks it when listed again, and removes it after ten', () => {
    const table = createPlatformTable({ zone: 'z' })
    expect(table.receiveList([createRow('e1')]).put.length).toEqual(1)
    expect(table.receiveList([]).put).toEqual([])
    expect(table.receiveList([]).put.map(({ leaving }) => leaving)).toEqual([true])
    expect(table.receiveList([createRow('e1')]).put.map(({ leaving }) => leaving)).toEqual([false])
    for (let count = 0; count < 9; count++) table.receiveList([])
    expect(table.receiveList([]).removed).toEqual(['e1'])
  })
})

describe('createZoneTable', () => {
  it('requires a full view after a gap, and applies changes in order', () => {
    const table = createZoneTable({ getNow: () => 0 })
    expect(table.applyView(createView(2, 1, false, ['e2']))).toEqual(false)
    expect(table.applyView(createView(2, 0, true, ['e1', 'e2']))).toEqual(true)
    expect(table.applyView(createView(4, 3, false, []))).toEqual(false)
    expect(table.applyView(createView(3, 2, false, [], ['e1']))).toEqual(true)
    expect(table.listViews('p').map(({ endpoint }) => endpoint)).toEqual(['e2'])
  })

  it('applies the state of an endpoint only from its owner', () => {
    const table = createZoneTable({ getNow: () => 0 })
    const state = { endpoint: 'e1', resident: ['a@1'], loading: [], running: 1, waiting: 0, batchLimit: 8, slots: 2, freeSlots: 1, expectedLoadMs: 1, expectedRunMs: 1 }
    table.applyView(createView(1, 0, true, ['e1']))
    table.applyStates('h2', { kind: 'member.endpoints', sequence: 1, full: true, states: [state] }, 0)
    expect(table.getView('e1')?.isResident('a@1')).toEqual(false)
    expect(table.applyStates('h1', { kind: 'member.endpoints', sequence: 1, full: true, states: [state] }, 0)).toEqual(true)
    expect(table.getView('e1')?.isResident('a@1')).toEqual(true)
    expect(table.applyStates('h1', { kind: 'member.endpoints', sequence: 3, full: false, states: [{ ...state, resident: undefined, loading: undefined, running: 5 }] }, 0)).toEqual(false)
    expect(table.getView('e1')?.isResident('a@1')).toEqual(true)
  })
})

describe('createZoneDigests', () => {
  it('lists zones of the own region first, and omits zones with an old digest', () => {
    const peer = (zone: string, region: string): PeerRow => ({ host: zone, zone, region, address: '', voter: false, leaseVoter: true })
    const digests = createZoneDigests({ region: 'r', peers: [peer('a', 'far'), peer('b', 'r')] })
    for (const zone of ['a', 'b']) digests.applyDigest({ zone, contact: zone, sequence: 1, pools: [{ pool: 'p', freeCapacity: 1, queueMs: 0 }] }, 0)
    expect(digests.listSummaries('p', 1_000).map(({ zone }) => zone)).toEqual(['b', 'a'])
    expect(digests.listSummaries('p', 20_000)).toEqual([])
  })
})
