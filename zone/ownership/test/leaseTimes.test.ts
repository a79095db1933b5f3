/** Times of sub-leases: until when an owner may act, and from when on the assigner may reassign an endpoint. */
import { MAX_ORDER_MS } from '@catkinferry/core.constants'
import type { EndpointRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { OwnershipMessage, PeerMessage } from '@catkinferry/wire.messages'
import { createAssigner, createSubLease } from '@catkinferry/zone.ownership'
import type { Assigner } from '@catkinferry/zone.ownership'
import { expect } from 'earl'
import { describe, it } from 'node:test'

type Assign = Extract<OwnershipMessage, { kind: 'owner.assign' }>
type Renew = Extract<OwnershipMessage, { kind: 'owner.renew' }>
type Sent = { readonly to: string, readonly message: PeerMessage }[]

const row: EndpointRow = { endpoint: 'e', kind: 'engine', zone: 'z', region: 'r', url: 'u', pool: 'p', leaving: false }

function createContext (now: number, sent: Sent = []): RunContext {
  return { now, wallNow: 1_000, send: (to, message) => { sent.push({ to, message }) }, emit: () => {} }
}

const createAssign = (askId: number, epoch = 1): Assign => ({ kind: 'owner.assign', zone: 'z', ballot: 1, askId, subLeaseMs: 2_000, epoch, viewSequence: 0, endpoints: [{ row, fencing: 7, waitMs: 4_000, recalled: false }] })

function takeRenewal (subLease: ReturnType<typeof createSubLease>, now: number): number {
  const sent: Sent = []
  subLease.run({ holder: 'h', viewSequence: 0, leaving: false }, createContext(now, sent))
  const [first] = sent
  return first?.message.kind === 'owner.renew' ? first.message.askId : 0
}

describe('createSubLease', () => {
  it('counts the sub-lease from the renewal, shortened by the drift bound', () => {
    const subLease = createSubLease({ zone: 'z', life: 1 })
    const askId = takeRenewal(subLease, 1_000)
    subLease.receiveAssign('h', createAssign(askId), createContext(1_400))
    expect(subLease.getUntil()).toEqual(1_000 + 1_980)
  })

  it('ignores answers to a renewal from before a pause, and answers of another host', () => {
    const subLease = createSubLease({ zone: 'z', life: 1 })
    const askId = takeRenewal(subLease, 1_000)
    expect(subLease.receiveAssign('x', createAssign(askId), createContext(1_100))).toEqual(undefined)
    subLease.drop(1_200)
    expect(subLease.receiveAssign('h', createAssign(askId), createContext(1_300))).toEqual(undefined)
    expect(subLease.isLive(1_300)).toEqual(false)
  })

  it('delays grants until an earlier eviction, and orders until an earlier order, can no longer arrive', () => {
    const subLease = createSubLease({ zone: 'z', life: 1 })
    const change = subLease.receiveAssign('h', createAssign(takeRenewal(subLease, 1_000)), createContext(1_000))
    expect(change?.gained.map(({ grantAfter, orderAfter }) => [grantAfter, orderAfter])).toEqual([[1_000 + 4_040 - 3_000, 5_040]])
  })
})

interface Fixture {
  readonly assigner: Assigner
  readonly renew: (host: string, now: number, more?: Partial<Renew>) => Assign | undefined
}

function createFixture (subLeasesMayRun: boolean): Fixture {
  const assigner = createAssigner({ zone: 'z', getSubLeaseMs: () => 2_000, getLeaseUntil: now => now + 3_000, getViewSequence: () => 0 })
  assigner.putEndpoint(row, createContext(0))
  assigner.begin({ ballot: 2, subLeasesMayRun }, createContext(0))
  let askId = 0
  return {
    assigner,
    renew: (host, now, more = {}) => {
      const sent: Sent = []
      const context = createContext(now, sent)
      assigner.run(context)
      assigner.receiveRenew(host, { kind: 'owner.renew', zone: 'z', ballot: 2, askId: askId++, epoch: 0, viewSequence: 0, highestFencing: 0, leaving: false, holding: [], life: 1, ...more }, context)
      assigner.run(context)
      return sent.map(({ message }) => message).find(message => message.kind === 'owner.assign')
    }
  }
}

describe('createAssigner', () => {
  it('assigns nothing while sub-leases of the previous ballot may run, except to the host that claims the endpoint', () => {
    const fixture = createFixture(true)
    fixture.renew('a', 100)
    fixture.renew('a', 2_019)
    expect(fixture.assigner.getOwned('e')?.owner).toEqual(undefined)
    fixture.renew('a', 2_021)
    expect(fixture.assigner.getOwned('e')?.owner).toEqual('a')
    const other = createFixture(true)
    const answer = other.renew('b', 100, { ballot: 1, holding: [{ endpoint: 'e', fencing: 3 }] })
    expect(answer?.endpoints?.map(({ waitMs }) => waitMs)).toEqual([0])
  })

  it('rejects a late claim to an endpoint that another host may have owned since', () => {
    const fixture = createFixture(false)
    fixture.renew('a', 100)
    fixture.renew('a', 400)
    const answer = fixture.renew('b', 2_500, { ballot: 1, holding: [{ endpoint: 'e', fencing: 3 }] })
    expect(answer?.endpoints).toEqual([])
    const next = fixture.renew('b', 2_510)
    expect(next?.endpoints?.map(({ waitMs }) => waitMs > MAX_ORDER_MS - 200)).toEqual([true])
  })

  it('reassigns a silent owner\'s endpoint only after its sub-lease plus drift, and tells the next owner how long to delay orders', () => {
    const fixture = createFixture(false)
    fixture.renew('a', 400)
    fixture.renew('a', 410)
    for (const now of [900, 1_500, 2_429]) fixture.renew('b', now)
    expect(fixture.assigner.getOwned('e')?.owner).toEqual('a')
    fixture.renew('b', 2_431)
    expect(fixture.assigner.getOwned('e')?.owner).toEqual('b')
    expect(fixture.renew('b', 2_440)?.endpoints?.map(({ waitMs }) => Math.round(waitMs / 100))).toEqual([40])
  })

  it('gives a restarted process no sub-lease before that of its predecessor has ended', () => {
    const fixture = createFixture(false)
    fixture.renew('a', 400)
    fixture.renew('a', 410)
    expect(fixture.renew('a', 500, { life: 2 })).toEqual(undefined)
    expect(fixture.renew('a', 2_429, { life: 2 })).toEqual(undefined)
    fixture.renew('a', 2_431, { life: 2 })
    expect(fixture.renew('a', 2_440, { life: 2 })?.endpoints?.map(({ waitMs }) => Math.round(waitMs / 100))).toEqual([40])
  })

  it('lets the next owner of a handed-back endpoint send orders at once only if no order is in flight', () => {
    for (const settled of [true, false]) {
      const fixture = createFixture(false)
      fixture.renew('a', 400)
      const assigned = fixture.renew('a', 410)
      const fencing = assigned?.endpoints?.[0]?.fencing ?? 0
      fixture.renew('a', 500, { leaving: true })
      fixture.renew('b', 510)
      fixture.assigner.receiveHandBack('a', { kind: 'owner.handBack', zone: 'z', ballot: 2, endpoint: 'e', fencing, settled, highestFencing: 0 }, createContext(600))
      const [next] = fixture.renew('b', 600)?.endpoints ?? fixture.renew('b', 610)?.endpoints ?? []
      const [later] = next === undefined ? fixture.renew('b', 620)?.endpoints ?? [] : [next]
      expect(later?.fencing).toEqual(fencing + 1)
      expect((later?.waitMs ?? -1) > 3_000).toEqual(!settled)
    }
  })
})
