/** Test harness: hosts with a dissemination each, on an in-memory network with virtual time and injectable faults. */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { HostId, PeerRow } from '@catkinferry/core.types'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import { createDissemination } from '@catkinferry/settings.dissemination'
import type { Dissemination } from '@catkinferry/settings.dissemination'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, SettingsMessage } from '@catkinferry/wire.messages'

const operator = { name: 'op', role: 'write', from: '10.0.0.1' } as const

interface Node {
  readonly peer: PeerRow
  readonly state?: ReplicatedState
  dissemination: Dissemination
  /** False after the process was killed. */
  up: boolean
}

interface Packet {
  readonly at: number
  readonly order: number
  readonly from: HostId
  readonly to: HostId
  readonly message: SettingsMessage
}

/** Fault injected into one packet: the delay in ms of each delivered copy; an empty list drops the packet. */
export type Fault = (from: HostId, to: HostId, message: SettingsMessage, random: Random) => readonly number[]

export const DELAY_MS = 5

export interface Bench {
  readonly getNow: () => number
  readonly nodes: ReadonlyMap<HostId, Node>
  readonly setFault: (fault: Fault) => void
  /** Commits one change on every voter that is up; returns the revision. */
  readonly commit: (values: Readonly<Record<string, unknown>>) => number
  readonly commitNodes: (count: number, prefix: string) => number
  /** Voters that are in contact with the leader but apply nothing, as with a failed disk. */
  readonly stalledVoters: Set<HostId>
  /** Brings voters that missed changes up to the latest revision. */
  readonly catchUpVoters: () => void
  readonly advance: (ms: number) => void
  readonly advanceUntil: (predicate: () => boolean, limitMs: number) => boolean
  readonly kill: (host: HostId) => void
  /** Restarts a host with its in-memory state lost. */
  readonly restart: (host: HostId) => void
  readonly getRevision: (host: HostId) => number
  readonly outputs: HostOutput[]
  /** Messages that were sent, newest last. */
  readonly packets: Packet[]
}

/** Creates peers named `<zone>-<n>` in the given zones; the first host of each of the first three zones is a voter. */
export function createPeers (zones: readonly { zone: string, region: string, hosts: number }[]): PeerRow[] {
  return zones.flatMap(({ zone, region, hosts }, zoneIndex) => Array.from({ length: hosts }, (_, index) => ({
    host: `${zone}-${index}`, zone, region, address: '', voter: index === 0 && zoneIndex < 3, leaseVoter: true
  })))
}

/** Starts every host. `inContact` decides which voters are in contact with a leader. */
export function createBench (opts: { peers: readonly PeerRow[], seed?: number, inContact?: (host: HostId) => boolean }): Bench {
  const { peers, inContact = () => true } = opts
  const random = createRandom(opts.seed ?? 1)
  const nodes = new Map<HostId, Node>()
  const outputs: HostOutput[] = []
  const packets: Packet[] = []
  const stalledVoters = new Set<HostId>()
  let queue: Packet[] = []
  let fault: Fault = () => [DELAY_MS]
  let now = 0
  let order = 0
  let revision = 0
  let nodeRevision = 0

  function createContext (from: HostId): RunContext {
    return {
      now,
      wallNow: now,
      emit: output => { outputs.push(output) },
      send: (to, message) => {
        const sent = message as SettingsMessage
        packets.push({ at: now, order, from, to, message: sent })
        for (const delay of fault(from, to, sent, random)) queue.push({ at: now + delay, order: order++, from, to, message: sent })
      }
    }
  }

  function start (peer: PeerRow, state: ReplicatedState | undefined): Node {
    const dissemination = createDissemination({
      self: peer, peers, voterState: state, isInContact: () => inContact(peer.host), random: createRandom(order++)
    })
    return { peer, state, dissemination, up: true }
  }

  for (const peer of peers) nodes.set(peer.host, start(peer, peer.voter ? createReplicatedState() : undefined))

  function takePacket (): Packet | undefined {
    const due = queue.filter(packet => packet.at <= now).sort((a, b) => a.at - b.at || a.order - b.order)[0]
    queue = queue.filter(packet => packet !== due)
    return due
  }

  function deliver (): void {
    for (let packet = takePacket(); packet !== undefined; packet = takePacket()) {
      const node = nodes.get(packet.to)
      if (node === undefined || !node.up) continue
      node.dissemination.receive(packet.from, packet.message, createContext(packet.to))
      node.dissemination.run(createContext(packet.to))
    }
  }

  function runDue (): void {
    for (const node of nodes.values()) {
      const nextAt = node.dissemination.getNextAt()
      if (node.up && nextAt !== undefined && nextAt <= now) node.dissemination.run(createContext(node.peer.host))
    }
  }

  function advance (ms: number): void {
    const end = now + ms
    for (;;) {
      deliver()
      runDue()
      const times = [...nodes.values()].filter(node => node.up).map(node => node.dissemination.getNextAt())
      const next = Math.min(end, ...queue.map(packet => packet.at), ...times.filter(time => time !== undefined))
      if (next >= end && now >= end) return
      now = Math.max(next, now + (next <= now ? 1 : 0))
    }
  }

  /** Brings voters that missed changes to the latest revision by a snapshot, as the log would. */
  function catchUpVoters (): void {
    const live = [...nodes.values()].filter(node => node.state !== undefined && node.up && inContact(node.peer.host) && !stalledVoters.has(node.peer.host))
    for (const { state } of live) {
      if (state === undefined || state.getRevision() >= revision) continue
      const newest = [...nodes.values()].find(node => node.state?.getRevision() === revision)
      state.restoreSnapshot(newest!.state!.takeSnapshot())
    }
  }

  function apply (command: Command): void {
    catchUpVoters()
    revision++
    for (const node of nodes.values()) {
      if (node.state === undefined || !node.up || !inContact(node.peer.host) || stalledVoters.has(node.peer.host)) continue
      node.state.apply({ index: revision, proposedAt: now, command })
      const [delta] = node.state.listDeltasAfter(revision - 1) ?? []
      node.dissemination.recordCommitted(delta!, createContext(node.peer.host))
    }
  }

  return {
    nodes,
    outputs,
    packets,
    getNow: () => now,
    setFault: next => { fault = next },
    commit: values => {
      apply({ kind: 'settings.change', changeId: `c${revision}`, operator, changes: [{ path: 'fleet', expectedRevision: nodeRevision, values }] })
      nodeRevision = revision
      return revision
    },
    commitNodes: (count, prefix) => {
      const changes = Array.from({ length: count }, (_, index) => ({ path: `fleet/${prefix}${index}`, expectedRevision: 0, values: { 'queue.limit': index + 1 } }))
      apply({ kind: 'settings.change', changeId: `c${revision}`, operator, changes })
      return revision
    },
    stalledVoters,
    advance,
    catchUpVoters,
    advanceUntil: (predicate, limitMs) => {
      const end = now + limitMs
      while (now < end && !predicate()) advance(10)
      return predicate()
    },
    kill: host => { nodes.get(host)!.up = false },
    restart: host => {
      const old = nodes.get(host)!
      nodes.set(host, start(old.peer, old.state))
    },
    getRevision: host => nodes.get(host)!.dissemination.view.getRevision()
  }
}
