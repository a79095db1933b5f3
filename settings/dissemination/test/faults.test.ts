import type { HostId } from '@catkinferry/core.types'
import { expect } from 'earl'
import fc from 'fast-check'
import { describe, it } from 'node:test'
import { createBench, createPeers, DELAY_MS } from './harness.ts'
import type { Bench } from './harness.ts'

const PEERS = createPeers([
  { zone: 'a', region: 'north', hosts: 2 },
  { zone: 'b', region: 'north', hosts: 2 },
  { zone: 'c', region: 'south', hosts: 2 },
  { zone: 'd', region: 'south', hosts: 3 }
])
const HOSTS = PEERS.map(peer => peer.host)
const VOTERS = PEERS.filter(peer => peer.voter).map(peer => peer.host)
const ZONES = ['a', 'b', 'c', 'd']

type Step =
  | { readonly kind: 'commit' }
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'restart', readonly host: HostId }
  | { readonly kind: 'kill', readonly host: HostId }
  | { readonly kind: 'cut', readonly zone: string }
  | { readonly kind: 'loss', readonly fraction: number }
  | { readonly kind: 'heal' }

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.constant({ kind: 'commit' } as const) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 10, max: 4_000 }) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), host: fc.constantFrom(...HOSTS) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), host: fc.constantFrom(...HOSTS) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), zone: fc.constantFrom(...ZONES) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('loss' as const), fraction: fc.double({ min: 0.05, max: 0.4, noNaN: true }) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'heal' } as const) }
)

/** The hosts, and what the test expects of them. */
interface World {
  readonly bench: Bench
  readonly down: Set<HostId>
  readonly seen: Map<HostId, number>
  cutZone?: string
  loss: number
  revision: number
}

function isLinked (world: World, from: HostId, to: HostId): boolean {
  return world.cutZone === undefined || (from[0] === world.cutZone) === (to[0] === world.cutZone)
}

/** A voter is in contact while a majority of the voters is up and reachable from it. */
function hasContact (world: World, host: HostId): boolean {
  const reached = VOTERS.filter(voter => !world.down.has(voter) && isLinked(world, host, voter))
  return reached.length * 2 > VOTERS.length
}

function isReady (world: World, host: HostId): boolean {
  return !world.down.has(host) && world.bench.nodes.get(host)!.dissemination.view.isReady()
}

function createWorld (seed: number): World {
  const world: World = {
    bench: createBench({ peers: PEERS, seed, inContact: host => hasContact(world, host) }),
    down: new Set(),
    seen: new Map(),
    loss: 0,
    revision: 0
  }
  world.bench.setFault((from, to, _message, random) => {
    if (!isLinked(world, from, to) || random.nextFraction() < world.loss) return []
    return world.loss > 0 && random.nextFraction() < world.loss ? [DELAY_MS, 1 + random.nextInt(0, 300)] : [DELAY_MS]
  })
  return world
}

const handlers: { readonly [Kind in Step['kind']]: (world: World, step: Extract<Step, { kind: Kind }>) => void } = {
  commit: world => {
    if (VOTERS.filter(voter => !world.down.has(voter) && hasContact(world, voter)).length * 2 > VOTERS.length) world.revision = world.bench.commit({ 'queue.limit': world.revision + 1 })
  },
  wait: (world, { ms }) => {
    for (let left = ms; left > 0; left -= 100) {
      world.bench.advance(Math.min(100, left))
      checkRising(world)
    }
  },
  restart: (world, { host }) => {
    world.down.delete(host)
    world.seen.delete(host)
    world.bench.restart(host)
  },
  kill: (world, { host }) => {
    world.down.add(host)
    world.bench.kill(host)
  },
  cut: (world, { zone }) => { world.cutZone = zone },
  loss: (world, { fraction }) => { world.loss = fraction },
  heal: world => {
    world.cutZone = undefined
    world.loss = 0
  }
}

function checkRising (world: World): void {
  for (const host of HOSTS.filter(host => !world.down.has(host))) {
    const revision = world.bench.getRevision(host)
    expect(revision >= (world.seen.get(host) ?? 0)).toEqual(true)
    expect(revision <= world.revision).toEqual(true)
    world.seen.set(host, revision)
  }
}

describe('dissemination under faults', () => {
  it('never decreases the revision of a running host, and brings every host to the last change after all faults have ended', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 1_000 }), fc.array(arbitraryStep, { maxLength: 30 }), (seed, steps) => {
      const world = createWorld(seed)
      handlers.wait(world, { kind: 'wait', ms: 4_000 })
      for (const step of steps) handlers[step.kind](world, step as never)
      handlers.heal(world, { kind: 'heal' })
      for (const host of world.down) handlers.restart(world, { kind: 'restart', host })
      world.bench.catchUpVoters()
      const isDone = (): boolean => HOSTS.every(host => isReady(world, host) && world.bench.getRevision(host) === world.revision)
      expect(world.bench.advanceUntil(isDone, 15_000)).toEqual(true)
    }), { seed: 4, numRuns: 60 })
  })

  it('marks a restarted host of a cut-off zone ready only with the highest revision of the hosts that it can reach', () => {
    fc.assert(fc.property(fc.constantFrom('d-0', 'd-1', 'd-2'), fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 40 }), (host, cutAfterMs, commits) => {
      const world = createWorld(3)
      handlers.wait(world, { kind: 'wait', ms: 4_000 })
      for (let index = 0; index < commits; index++) {
        handlers.commit(world, { kind: 'commit' })
        world.bench.advance(3)
      }
      world.bench.advance(cutAfterMs)
      world.cutZone = 'd'
      handlers.wait(world, { kind: 'wait', ms: 1_000 })
      const others = ['d-0', 'd-1', 'd-2'].filter(other => other !== host)
      const highest = Math.max(...others.map(world.bench.getRevision))
      handlers.restart(world, { kind: 'restart', host })
      expect(world.bench.advanceUntil(() => isReady(world, host), 6_000)).toEqual(true)
      expect(world.bench.getRevision(host)).toEqual(highest)
    }), { seed: 5, numRuns: 40 })
  })
})
