/** Lease voters, changes of voter sets, and the lease holder. */
import { MAX_ZONE_LEASE_MS } from '@catkinferry/core.constants'
import { createRandom } from '@catkinferry/core.random'
import type { PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { LeaseMessage, PeerMessage } from '@catkinferry/wire.messages'
import { createLeaseHolder, createLeaseVoter, listLeaseVoters, planVoterSet } from '@catkinferry/zone.leases'
import type { LeaseVoterSet } from '@catkinferry/zone.leases'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'

type Answer = Extract<LeaseMessage, { kind: 'lease.answer' }>

function createContext (now: number): RunContext & { readonly sent: { to: string, message: PeerMessage }[] } {
  const sent: { to: string, message: PeerMessage }[] = []
  return { now, wallNow: 1_000_000, send: (to, message) => { sent.push({ to, message }) }, emit: () => {}, sent }
}

function requestFromVoter (voter: ReturnType<typeof createLeaseVoter>, from: string, ballot: number, now: number, voterSet = 0, renewal = false): Answer | undefined {
  const context = createContext(now)
  voter.receiveRequest(from, { kind: 'lease.ask', zone: 'z', ballot, askId: 1, durationMs: 3_000, voterSet, renewal }, context)
  return context.sent[0]?.message as Answer | undefined
}

describe('createLeaseVoter', () => {
  it('ignores requests for the longest lease duration after its start', () => {
    const voter = createLeaseVoter({ silentUntil: MAX_ZONE_LEASE_MS, getVoterSet: () => 0 })
    expect(requestFromVoter(voter, 'a', 1, MAX_ZONE_LEASE_MS - 1)).toEqual(undefined)
    expect(requestFromVoter(voter, 'a', 1, MAX_ZONE_LEASE_MS)?.granted).toEqual(true)
  })

  it('keeps a promise longer than the lease by the drift bound, and names the holder in refusals', () => {
    const voter = createLeaseVoter({ silentUntil: 0, getVoterSet: () => 0 })
    requestFromVoter(voter, 'a', 1, 0)
    expect(requestFromVoter(voter, 'b', 2, 3_020)?.granted).toEqual(false)
    expect(requestFromVoter(voter, 'b', 2, 3_020)?.holder).toEqual('a')
    expect(requestFromVoter(voter, 'b', 2, 3_031)?.granted).toEqual(true)
  })

  it('refuses a new ballot that is not above the last promised one', () => {
    const voter = createLeaseVoter({ silentUntil: 0, getVoterSet: () => 0 })
    requestFromVoter(voter, 'a', 5, 0)
    expect(requestFromVoter(voter, 'b', 5, 4_000)?.granted).toEqual(false)
    expect(requestFromVoter(voter, 'a', 4, 4_000)?.granted).toEqual(false)
    expect(requestFromVoter(voter, 'b', 6, 4_000)?.granted).toEqual(true)
  })

  it('renews a holder after a rival\'s higher ballot that won no majority, and refuses new ballots that are not above it', () => {
    const voter = createLeaseVoter({ silentUntil: 0, getVoterSet: () => 0 })
    requestFromVoter(voter, 'rival', 9, 0)
    voter.receiveRelease('rival', { kind: 'lease.release', zone: 'z', ballot: 9, unused: true }, createContext(10))
    expect(requestFromVoter(voter, 'a', 8, 20)?.granted).toEqual(false)
    expect(requestFromVoter(voter, 'a', 8, 20, 0, true)?.granted).toEqual(true)
    expect(requestFromVoter(voter, 'b', 9, 4_000)?.granted).toEqual(false)
    expect(requestFromVoter(voter, 'b', 10, 4_000)?.granted).toEqual(true)
  })

  it('reports that sub-leases may run after a release or a new ballot, also across an unused ballot, but not after an expiry', () => {
    const voter = createLeaseVoter({ silentUntil: 0, getVoterSet: () => 0 })
    requestFromVoter(voter, 'a', 1, 0)
    voter.receiveRelease('a', { kind: 'lease.release', zone: 'z', ballot: 1, unused: false }, createContext(100))
    expect(requestFromVoter(voter, 'b', 2, 200)?.subLeasesMayRun).toEqual(true)
    voter.receiveRelease('b', { kind: 'lease.release', zone: 'z', ballot: 2, unused: true }, createContext(300))
    expect(requestFromVoter(voter, 'c', 3, 400)?.subLeasesMayRun).toEqual(true)
    expect(requestFromVoter(voter, 'c', 4, 500)?.subLeasesMayRun).toEqual(true)
    expect(requestFromVoter(voter, 'a', 5, 9_000)?.subLeasesMayRun).toEqual(false)
  })
})

describe('lease voter sets', () => {
  it('makes a voter refuse candidates with an earlier set or one that skips a step', () => {
    const grants = [1, 2, 3, 4].map(voterSet => requestFromVoter(createLeaseVoter({ silentUntil: 0, getVoterSet: () => 2 }), 'a', 1, 0, voterSet)?.granted)
    expect(grants).toEqual([false, true, true, false])
  })

  it('makes a voter ignore requests while its settings are not ready', () => {
    expect(requestFromVoter(createLeaseVoter({ silentUntil: 0, getVoterSet: () => undefined }), 'a', 1, 0)).toEqual(undefined)
  })

  const createAnswer = (at: number, voterSet: number): { at: number, voterSet: number } => ({ at, voterSet })
  const plan = (opts: { hosts: readonly string[], answers: Record<string, { at: number, voterSet: number }>, live: readonly string[], gone: readonly string[] }): LeaseVoterSet | undefined =>
    planVoterSet({ current: { number: 4, hosts: opts.hosts }, getLastAnswer: host => opts.answers[host], heldSince: 0, now: 100_000, liveHosts: opts.live, isListed: host => !opts.gone.includes(host) })

  it('adds a spare host for a gone voter, then removes the gone one', () => {
    const fresh = { a: createAnswer(99_000, 4), b: createAnswer(99_000, 4), d: createAnswer(99_000, 4) }
    expect(plan({ hosts: ['a', 'b', 'c'], answers: fresh, live: ['a', 'b', 'd'], gone: ['c'] })).toEqual({ number: 5, hosts: ['a', 'b', 'c', 'd'] })
    expect(plan({ hosts: ['a', 'b', 'c', 'd'], answers: fresh, live: ['a', 'b', 'd'], gone: ['c'] })).toEqual({ number: 5, hosts: ['a', 'b', 'd'] })
  })

  it('changes nothing while no majority has applied the last step, or the silent voter is listed or was heard from recently', () => {
    const old = { a: createAnswer(99_000, 3), b: createAnswer(99_000, 4) }
    expect(plan({ hosts: ['a', 'b', 'c'], answers: old, live: ['a', 'b', 'd'], gone: ['c'] })).toEqual(undefined)
    const fresh = { a: createAnswer(99_000, 4), b: createAnswer(99_000, 4), c: createAnswer(60_000, 4) }
    expect(plan({ hosts: ['a', 'b', 'c'], answers: fresh, live: ['a', 'b', 'd'], gone: ['c'] })).toEqual(undefined)
    expect(plan({ hosts: ['a', 'b', 'c'], answers: { a: createAnswer(99_000, 4), b: createAnswer(99_000, 4) }, live: ['a', 'b', 'd'], gone: [] })).toEqual(undefined)
  })

  it('shrinks a set of five with two gone to three, and not below', () => {
    const fresh = { a: createAnswer(99_000, 4), b: createAnswer(99_000, 4), c: createAnswer(99_000, 4) }
    expect(plan({ hosts: ['a', 'b', 'c', 'd', 'e'], answers: fresh, live: ['a', 'b', 'c'], gone: ['d', 'e'] })?.hosts).toEqual(['a', 'b', 'c', 'e'])
    expect(plan({ hosts: ['a', 'b', 'c', 'e'], answers: fresh, live: ['a', 'b', 'c'], gone: ['d', 'e'] })?.hosts).toEqual(['a', 'b', 'c'])
    expect(plan({ hosts: ['a', 'b', 'c'], answers: fresh, live: ['a', 'b'], gone: ['c'] })).toEqual(undefined)
  })

  it('cannot elect two holders while candidates and voters have consecutive sets', () => {
    const sets = [['a', 'b', 'c', 'd', 'e'], ['a', 'b', 'c', 'd'], ['a', 'b', 'c']]
    const numbers = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 5, maxLength: 5 })
    const property = fc.property(numbers, fc.array(fc.record({ voter: fc.integer({ min: 0, max: 4 }), candidate: fc.integer({ min: 0, max: 1 }) }), { maxLength: 20 }), fc.tuple(fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 2 })), (applied, requests, counted) => {
      const settled = (number: number): boolean => (sets[number] ?? []).filter(host => (applied['abcde'.indexOf(host)] ?? 0) >= number).length * 2 > (sets[number]?.length ?? 0)
      fc.pre(settled(1) || Math.max(...applied, ...counted) <= 1)
      const voters = applied.map(number => createLeaseVoter({ silentUntil: 0, getVoterSet: () => number }))
      const granted = [new Set<string>(), new Set<string>()]
      for (const { voter, candidate } of requests) {
        const row = voters[voter]
        if (row !== undefined && requestFromVoter(row, `candidate${candidate}`, 10 + candidate, 0, counted[candidate])?.granted === true) granted[candidate]?.add('abcde'[voter] ?? '')
      }
      const holds = [0, 1].map(candidate => {
        const set = sets[counted[candidate] ?? 0] ?? []
        return set.filter(host => granted[candidate]?.has(host)).length * 2 > set.length
      })
      expect(holds).not.toEqual([true, true])
    })
    fc.assert(property, { seed: 1, numRuns: 3_000 })
  })
})

describe('createLeaseHolder', () => {
  const create = (): ReturnType<typeof createLeaseHolder> => createLeaseHolder({ zone: 'z', getVoters: () => ({ number: 0, hosts: ['a', 'b', 'c'] }), getLeaseMs: () => 3_000, random: createRandom(1) })

  function answer (holder: ReturnType<typeof createLeaseHolder>, from: string, request: { ballot: number, askId: number }, now: number, granted = true): void {
    holder.receiveAnswer(from, { kind: 'lease.answer', zone: 'z', ballot: request.ballot, askId: request.askId, granted, highestBallot: request.ballot, remainingMs: 3_000, subLeasesMayRun: false, voterSet: 0 }, createContext(now))
  }

  function takeRequest (holder: ReturnType<typeof createLeaseHolder>, now: number): { ballot: number, askId: number } {
    const context = createContext(now)
    holder.run(context, true)
    return context.sent[0]?.message as Extract<LeaseMessage, { kind: 'lease.ask' }>
  }

  it('holds the lease once a majority grants it, counted from the request and shortened by the drift bound', () => {
    const holder = create()
    const request = takeRequest(holder, 1_000)
    answer(holder, 'a', request, 2_000)
    answer(holder, 'a', request, 2_000)
    expect(holder.getHeld(2_000)).toEqual(undefined)
    answer(holder, 'b', request, 2_000)
    expect(holder.getHeld(2_000)?.until).toEqual(1_000 + 2_970)
    expect(holder.getHeld(3_970)).toEqual(undefined)
  })

  it('ignores answers to a request from before a pause, and answers of hosts that are no voters', () => {
    const holder = create()
    const request = takeRequest(holder, 1_000)
    holder.drop(1_100)
    answer(holder, 'a', request, 1_200)
    answer(holder, 'b', request, 1_200)
    expect(holder.getHeld(1_200)).toEqual(undefined)
    const secondRequest = takeRequest(holder, 5_000)
    answer(holder, 'a', secondRequest, 5_000)
    answer(holder, 'x', secondRequest, 5_000)
    expect(holder.getHeld(5_000)).toEqual(undefined)
  })

  it('releases the voters of a request that one voter refused', () => {
    const holder = create()
    const request = takeRequest(holder, 1_000)
    answer(holder, 'a', request, 1_010)
    const context = createContext(1_020)
    holder.receiveAnswer('b', { kind: 'lease.answer', zone: 'z', ballot: request.ballot, askId: request.askId, granted: false, highestBallot: 9, remainingMs: 3_000, subLeasesMayRun: false, voterSet: 0 }, context)
    expect(context.sent.map(({ message }) => message.kind === 'lease.release' && message.unused)).toEqual([true, true, true])
    answer(holder, 'c', request, 1_030)
    expect(holder.getHeld(1_030)).toEqual(undefined)
  })
})

describe('listLeaseVoters', () => {
  const peer = (host: string, zone: string, region: string, leaseVoter = true): PeerRow => ({ host, zone, region, address: '', voter: false, leaseVoter })

  it('adds a third voter from the nearest zone for a zone of two hosts', () => {
    const peers = [peer('a1', 'a', 'r'), peer('a2', 'a', 'r'), peer('b1', 'b', 'far'), peer('c1', 'c', 'r')]
    expect(listLeaseVoters({ zone: 'a', peers })).toEqual(['a1', 'a2', 'c1'])
  })

  it('lists the named lease voters of the zone, or all its hosts when none is named', () => {
    const peers = [peer('a1', 'a', 'r'), peer('a2', 'a', 'r', false), peer('b1', 'b', 'r', false), peer('b2', 'b', 'r', false), peer('b3', 'b', 'r', false)]
    expect(listLeaseVoters({ zone: 'a', peers })).toEqual(['a1'])
    expect(listLeaseVoters({ zone: 'b', peers })).toEqual(['b1', 'b2', 'b3'])
  })
})
