/** Fleet of the dissemination experiment: settings dissemination on every host, over an in-memory network with delays on virtual time. Counts bytes. */
import { createRandom } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { HostId, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createDissemination } from '@catkinferry/settings.dissemination'
import type { Dissemination } from '@catkinferry/settings.dissemination'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { Command, SettingsMessage } from '@catkinferry/wire.messages'
import { encode } from 'cbor-x'

const ZONE_DELAY_MS = 1
const REGION_DELAY_MS = 2
const FAR_DELAY_MS = 10
/** Length prefix of a frame. */
const FRAME_BYTES = 4

/** Bytes that one host sent and received, with frames but without TCP and IP headers. */
export interface HostTraffic {
  sent: number
  received: number
  messages: number
}

export interface DisseminationFleet {
  readonly getNow: () => number
  readonly advance: (ms: number) => void
  /** Commits a command on every voter. */
  readonly commit: (command: Command) => void
  readonly getRevision: () => number
  /** Counts the hosts that are ready and at the committed revision. */
  readonly countInForce: () => number
  readonly traffic: ReadonlyMap<HostId, HostTraffic>
  readonly resetTraffic: () => void
  /** Bytes sent from one region to another. */
  readonly getLongLinkBytes: () => number
  readonly kill: (host: HostId) => void
}

const NO_TRAFFIC: Readonly<HostTraffic> = { sent: 0, received: 0, messages: 0 }

interface Member {
  readonly peer: PeerRow
  readonly system: Dissemination
  readonly state?: ReplicatedState
  up: boolean
}

interface Packet {
  readonly from: HostId
  readonly to: Member
  readonly message: SettingsMessage
}

function getDelayMs (from: PeerRow, to: PeerRow): number {
  if (from.zone === to.zone) return ZONE_DELAY_MS
  return from.region === to.region ? REGION_DELAY_MS : FAR_DELAY_MS
}

function recordTraffic (traffic: ReadonlyMap<HostId, HostTraffic>, from: HostId, to: HostId, bytes: number): void {
  const sender = traffic.get(from)!
  const receiver = traffic.get(to)!
  sender.sent += bytes
  sender.messages++
  receiver.received += bytes
  receiver.messages++
}

/** Creates the fleet; every host starts at time 0. */
export function createDisseminationFleet (opts: { peers: readonly PeerRow[], seed: number }): DisseminationFleet {
  const { peers, seed } = opts
  const members = new Map<HostId, Member>()
  const traffic = new Map<HostId, HostTraffic>(peers.map(({ host }) => [host, { ...NO_TRAFFIC }]))
  const wakeUps = createDueTimes<HostId>()
  const arrivals = createDueTimes<Packet>()
  let now = 0
  let longLinkBytes = 0
  let changes = 0

  function send (from: Member, to: HostId, message: SettingsMessage): void {
    const target = members.get(to)
    if (target === undefined) return
    const bytes = encode(message).length + FRAME_BYTES
    recordTraffic(traffic, from.peer.host, to, bytes)
    if (from.peer.region !== target.peer.region) longLinkBytes += bytes
    arrivals.set({ from: from.peer.host, to: target, message }, now + getDelayMs(from.peer, target.peer))
  }

  function createContext (member: Member): RunContext {
    return { now, wallNow: now, emit: () => {}, send: (to, message) => { send(member, to, message as SettingsMessage) } }
  }

  function runMember (member: Member): void {
    if (!member.up) return
    member.system.run(createContext(member))
    const nextAt = member.system.getNextAt()
    if (nextAt !== undefined) wakeUps.set(member.peer.host, Math.max(nextAt, now))
  }

  function deliver (): void {
    for (const { from, to, message } of arrivals.takeDue(now)) {
      if (to.up) to.system.receive(from, message, createContext(to))
      runMember(to)
    }
  }

  function addMember (peer: PeerRow, index: number): void {
    const state = peer.voter ? createReplicatedState() : undefined
    const system = createDissemination({ self: peer, peers, random: createRandom(seed + index), voterState: state, isInContact: () => true })
    members.set(peer.host, { peer, system, state, up: true })
    wakeUps.set(peer.host, 0)
  }

  peers.forEach(addMember)

  function advance (ms: number): void {
    const end = now + ms
    for (;;) {
      deliver()
      for (const host of wakeUps.takeDue(now)) runMember(members.get(host)!)
      const next = Math.min(wakeUps.getNextAt() ?? Infinity, arrivals.getNextAt() ?? Infinity)
      if (next > end) break
      now = Math.max(now, next)
    }
    now = end
  }

  function commit (command: Command): void {
    changes++
    for (const member of voters()) {
      member.state!.apply({ index: changes, proposedAt: now, command })
      const delta = member.state!.listDeltasAfter(member.state!.getRevision() - 1)?.[0]
      if (delta !== undefined) member.system.recordCommitted(delta, createContext(member))
      runMember(member)
    }
  }

  const voters = (): Member[] => [...members.values()].filter(member => member.state !== undefined)
  const getRevision = (): number => voters()[0]!.state!.getRevision()
  const isInForce = ({ up, system }: Member): boolean => up && system.view.isReady() && system.view.getRevision() === getRevision()
  return {
    getNow: () => now,
    advance,
    commit,
    getRevision,
    countInForce: () => [...members.values()].filter(isInForce).length,
    traffic,
    resetTraffic: () => {
      for (const row of traffic.values()) Object.assign(row, NO_TRAFFIC)
      longLinkBytes = 0
    },
    getLongLinkBytes: () => longLinkBytes,
    kill: host => { members.get(host)!.up = false }
  }
}
