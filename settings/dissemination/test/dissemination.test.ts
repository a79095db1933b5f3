import type { HostId } from '@catkinferry/core.types'
import type { SettingsMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createBench, createPeers, DELAY_MS } from './harness.ts'
import type { Bench } from './harness.ts'

const PEERS = createPeers([
  { zone: 'a', region: 'north', hosts: 3 },
  { zone: 'b', region: 'north', hosts: 2 },
  { zone: 'c', region: 'south', hosts: 2 },
  { zone: 'd', region: 'south', hosts: 4 }
])
const HOSTS = PEERS.map(peer => peer.host)

function areAllAt (bench: Bench, revision: number, hosts: readonly HostId[] = HOSTS): boolean {
  return hosts.every(host => bench.getRevision(host) === revision)
}

function areAllReady (bench: Bench, hosts: readonly HostId[] = HOSTS): boolean {
  return hosts.every(host => bench.nodes.get(host)!.dissemination.view.isReady())
}

function createSettled (opts: Partial<Parameters<typeof createBench>[0]> = {}): Bench {
  const bench = createBench({ peers: PEERS, ...opts })
  expect(bench.advanceUntil(() => areAllReady(bench), 10_000)).toEqual(true)
  bench.advance(12_000)
  return bench
}

describe('dissemination', () => {
  it('puts a change in force on every host and reports the applied revisions to each voter', () => {
    const bench = createSettled()
    const revision = bench.commit({ 'queue.limit': 7 })
    expect(bench.advanceUntil(() => areAllAt(bench, revision), 100)).toEqual(true)
    expect(bench.nodes.get('d-3')!.dissemination.view.getValue('fleet/south/d', 'queue.limit')).toEqual(7)
    bench.advance(1_000)
    for (const voter of ['a-0', 'b-0', 'c-0']) {
      const applied = bench.nodes.get(voter)!.dissemination.getAppliedByHost()
      expect(HOSTS.filter(host => applied.get(host) !== revision)).toEqual([])
    }
  })

  it('sends each delta into a zone without a voter once, and to no host twice', () => {
    const bench = createSettled()
    const before = bench.packets.length
    bench.commit({ 'queue.limit': 7 })
    bench.advance(500)
    const deltaPackets = bench.packets.slice(before).filter(({ message }) => message.kind === 'settings.deltas' && message.deltas.length > 0)
    expect(deltaPackets.map(({ to }) => to).sort()).toEqual(HOSTS.filter(host => !PEERS.find(peer => peer.host === host)!.voter).sort())
    expect(deltaPackets.filter(({ from, to }) => from[0] !== to[0]).map(({ to }) => to)).toEqual(['d-0'])
  })

  it('counts the bytes that cross between regions', () => {
    const peers = createPeers([{ zone: 'a', region: 'north', hosts: 1 }, { zone: 'b', region: 'north', hosts: 1 }, { zone: 'c', region: 'north', hosts: 1 }, { zone: 'd', region: 'south', hosts: 1 }])
    const bench = createBench({ peers })
    bench.advance(5_000)
    const counted = bench.outputs.filter(output => output.kind === 'metric' && output.name === 'settings.longLinkBytes')
    expect(counted.length > 0).toEqual(true)
  })

  for (const relay of ['d-0', 'a-0']) {
    it(`recovers from the loss of the relay ${relay} within 2 s`, () => {
      const bench = createSettled()
      const zoneHosts = HOSTS.filter(host => host[0] === relay[0] && host !== relay)
      bench.kill(relay)
      const revision = bench.commit({ 'queue.limit': 9 })
      expect(bench.advanceUntil(() => areAllAt(bench, revision, zoneHosts), 2_000)).toEqual(true)
    })
  }

  it('recovers within 2 s from the loss of a host that others of a large zone are subscribed to', () => {
    const peers = createPeers([{ zone: 'a', region: 'north', hosts: 1 }, { zone: 'b', region: 'north', hosts: 1 }, { zone: 'c', region: 'north', hosts: 1 }, { zone: 'd', region: 'south', hosts: 20 }])
    const hosts = peers.map(peer => peer.host)
    const bench = createBench({ peers })
    expect(bench.advanceUntil(() => areAllReady(bench, hosts), 10_000)).toEqual(true)
    bench.advance(12_000)
    const upstreams = new Map(hosts.map(host => [host, bench.nodes.get(host)!.dissemination.getUpstream()]))
    const inner = 'd-1'
    expect([...upstreams.values()].filter(upstream => upstream === inner).length >= 2).toEqual(true)
    bench.kill(inner)
    const revision = bench.commit({ 'queue.limit': 9 })
    const others = hosts.filter(host => host !== inner)
    expect(bench.advanceUntil(() => areAllAt(bench, revision, others), 2_000)).toEqual(true)
  })

  it('closes gaps and never decreases a revision while messages are lost, duplicated and reordered', () => {
    const bench = createSettled({ seed: 7 })
    const seen = new Map<HostId, number>()
    bench.setFault((_from, _to, _message, random) => {
      const roll = random.nextFraction()
      if (roll < 0.15) return []
      if (roll < 0.3) return [DELAY_MS, 1 + random.nextInt(0, 400)]
      return [1 + random.nextInt(0, 100)]
    })
    let revision = 0
    for (let step = 0; step < 200; step++) {
      if (step < 100) revision = bench.commit({ 'queue.limit': step + 1 })
      bench.advance(40)
      for (const host of HOSTS) {
        expect(bench.getRevision(host) >= (seen.get(host) ?? 0)).toEqual(true)
        seen.set(host, bench.getRevision(host))
      }
    }
    bench.setFault(() => [DELAY_MS])
    expect(bench.advanceUntil(() => areAllAt(bench, revision), 3_000)).toEqual(true)
    expect(bench.nodes.get('d-2')!.dissemination.view.getValue('fleet', 'queue.limit')).toEqual(100)
  })

  it('marks a host that restarts without a disk in a cut-off zone ready only with the highest revision of the zone', () => {
    const bench = createSettled()
    const revision = bench.commit({ 'queue.limit': 3 })
    bench.advance(1_000)
    bench.setFault((from, to) => (from[0] === 'd') === (to[0] === 'd') ? [DELAY_MS] : [])
    bench.commit({ 'queue.limit': 4 })
    bench.advance(6_000)
    for (const host of ['d-0', 'd-2']) {
      bench.restart(host)
      expect(bench.nodes.get(host)!.dissemination.view.isReady()).toEqual(false)
      expect(bench.advanceUntil(() => areAllReady(bench, [host]), 3_000)).toEqual(true)
      expect(bench.getRevision(host)).toEqual(revision)
      expect(bench.nodes.get(host)!.dissemination.view.getCutOffSince() !== undefined).toEqual(true)
    }
    bench.setFault(() => [DELAY_MS])
    expect(bench.advanceUntil(() => areAllAt(bench, revision + 1), 12_000)).toEqual(true)
    expect(bench.nodes.get('d-0')!.dissemination.view.getCutOffSince()).toEqual(undefined)
  })

  it('does not mark a host ready that reaches no ready host', () => {
    const bench = createSettled()
    bench.setFault(() => [])
    bench.restart('d-1')
    bench.advance(20_000)
    expect(areAllReady(bench, ['d-1'])).toEqual(false)
  })

  it('does not let a voter without contact to the leader hold its zone at an old revision', () => {
    let reached = true
    const bench = createSettled({ inContact: host => host !== 'a-0' || reached })
    const first = bench.commit({ 'queue.limit': 3 })
    bench.advance(1_000)
    reached = false
    const second = bench.commit({ 'queue.limit': 4 })
    expect(first < second).toEqual(true)
    expect(bench.advanceUntil(() => areAllAt(bench, second), 8_000)).toEqual(true)
    bench.advance(10_000)
    expect(areAllAt(bench, second)).toEqual(true)
    expect(bench.nodes.get('a-0')!.state!.getRevision()).toEqual(first)
  })

  it('does not let a voter that is in contact with the leader but applies nothing hold its zone at an old revision', () => {
    const bench = createSettled()
    bench.stalledVoters.add('a-0')
    const revision = bench.commit({ 'queue.limit': 4 })
    expect(bench.advanceUntil(() => areAllAt(bench, revision), 6_000)).toEqual(true)
    expect(bench.nodes.get('a-0')!.state!.getRevision()).toEqual(revision - 1)
    bench.stalledVoters.clear()
    const next = bench.commit({ 'queue.limit': 5 })
    expect(bench.advanceUntil(() => areAllAt(bench, next), 6_000)).toEqual(true)
  })

  it('transfers the full state in parts to a new host, also while changes are committed and parts are lost', () => {
    const bench = createSettled()
    bench.kill('d-3')
    bench.commit({ 'audit.keptBytes': 65_536 })
    for (let step = 0; step < 12; step++) bench.commitNodes(900, `n${step}x`)
    bench.advance(2_000)
    let parts = 0
    const fault = (_from: HostId, _to: HostId, message: SettingsMessage): number[] => {
      if (message.kind !== 'settings.part') return [DELAY_MS]
      parts++
      return parts % 3 === 0 ? [] : [DELAY_MS]
    }
    bench.setFault(fault)
    bench.restart('d-3')
    for (let step = 0; step < 40; step++) {
      bench.commitNodes(1, `later${step}x`)
      bench.advance(50)
    }
    expect(bench.advanceUntil(() => areAllAt(bench, 53, ['d-3']), 10_000)).toEqual(true)
    expect(parts > 6).toEqual(true)
    const listNodes = (host: HostId): string[] => [...bench.nodes.get(host)!.dissemination.getTree().walkNodesAsJson()].map(({ path, revision, json }) => `${path} ${revision} ${json}`).sort()
    expect(listNodes('d-3')).toEqual(listNodes('a-0'))
  })

  it('exchanges fewer than 10 messages a second on an idle host, which is far below 9 KB a second', () => {
    const bench = createSettled()
    const before = bench.packets.length
    bench.advance(60_000)
    const perHost = new Map<HostId, number>()
    for (const { from, to } of bench.packets.slice(before)) {
      for (const host of [from, to]) perHost.set(host, (perHost.get(host) ?? 0) + 1)
    }
    expect(Math.max(...perHost.values()) / 60 < 10).toEqual(true)
  })
})
