/** Control traffic and processor time of a fleet that forms from seeds, over its number of entry hosts. */
import type { HostId } from '@catkinferry/core.types'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import { createPlacement } from '@catkinferry/fleet.placement'
import type { Placement } from '@catkinferry/fleet.placement'
import type { RunContext } from '@catkinferry/host.events'
import { encodeFrame } from '@catkinferry/wire.frames'
import { FleetRole } from '@catkinferry/wire.messages'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import type { Experiment, Figures } from '../experiment.ts'

const CORE_HOSTS = 3
const SIZES = [70, 140, 280, 560]
const ENDPOINTS_PER_HOST = 11.4
const WARM_MS = 5_000
const MEASURED_MS = 20_000
const TICK_MS = 20
const MS_PER_SECOND = 1_000
const HELD = { routesVersion: 1, announcedSequence: 0, endpointsTerm: 1, endpointsSequence: 1 }

interface Point {
  readonly entryBytesPerSecond: number
  readonly coreBytesPerSecond: number
  readonly leaderBytesPerSecond: number
  readonly leaderMsPerSecond: number
}

interface Traffic {
  readonly sent: Map<HostId, number>
  leaderMs: number
}

const REGIONS = 6

/** Hosts and endpoints are spread over the regions by the number in their name. */
function findRegion (name: string): string {
  return `r${Number(name.slice(name.lastIndexOf('-') + 1)) % REGIONS}`
}

function createIdlePlacement (entries: readonly HostId[]): Placement {
  return createPlacement({
    self: 'core-0',
    getLeadTerm: () => 1,
    handOverMs: 0,
    getRoutes: () => ({ version: 1, routes: [], pools: [], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }),
    getVersion: () => 1,
    getRegion: zone => zone,
    listEntries: () => entries,
    getPlace: host => ({ zone: findRegion(host), region: findRegion(host) }),
    sendOrder: () => undefined,
    pollList: () => undefined
  })
}

/** Uses of one entry host: each runs requests at a few of the endpoints. */
function buildUses (entry: number, endpoints: number, step: number): FleetMessage {
  const uses = Array.from({ length: 40 }, (_, index) => ({ endpoint: `i-${(entry * 7 + index * 13 + step) % endpoints}`, adapterKey: `m/a${index}@1`, begun: 1, running: 1 }))
  return { kind: 'fleet.use', uses }
}

function runFleet (entryCount: number): Point {
  const entries = Array.from({ length: entryCount }, (_, index) => `entry-${index}`)
  const core = Array.from({ length: CORE_HOSTS }, (_, index) => `core-${index}`)
  const traffic: Traffic = { sent: new Map(), leaderMs: 0 }
  const members = new Map<HostId, FleetMembership>()
  const placement = createIdlePlacement(entries)
  let now = 0
  const endpoints = Array.from({ length: Math.round(entryCount * ENDPOINTS_PER_HOST) }, (_, index) => `i-${index}`)
  let latest: { message: PeerMessage, bytes: number } | undefined

  function countBytes (message: PeerMessage): number {
    if (latest?.message === message) return latest.bytes
    const frame = encodeFrame(message)
    latest = { message, bytes: frame.ok ? frame.value.byteLength : 0 }
    return latest.bytes
  }

  function createContext (from: HostId): RunContext {
    return {
      now,
      wallNow: now,
      emit: () => undefined,
      send: (to, message) => {
        traffic.sent.set(from, (traffic.sent.get(from) ?? 0) + countBytes(message))
        if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') members.get(to)?.receive(from, message, createContext(to))
      }
    }
  }

  for (const host of [...core, ...entries]) {
    const isCore = host.startsWith('core')
    members.set(host, createFleetMembership({ self: { host, zone: 'z', region: 'r' }, role: isCore ? FleetRole.CORE : FleetRole.ENTRY, getSeeds: () => core, getHeld: () => HELD, ...(isCore ? { getLead: () => ({ leader: 'core-0', inContact: true, routesVersion: 1 }) } : {}) }))
  }

  placement.run(createContext('core-0'))
  placement.receiveList(endpoints.map(endpoint => ({ endpoint, pool: 'p', zone: findRegion(endpoint), address: '10.0.0.1:1', leaving: false })), createContext('core-0'))

  function runLeader (work: () => void): void {
    const startedAt = performance.now()
    work()
    traffic.leaderMs += performance.now() - startedAt
  }

  for (; now < WARM_MS + MEASURED_MS; now += TICK_MS) {
    if (now === WARM_MS) {
      traffic.sent.clear()
      traffic.leaderMs = 0
    }
    for (const host of entries) members.get(host)?.run(createContext(host))
    runLeader(() => { for (const host of core) members.get(host)?.run(createContext(host)) })
    if (now % 400 === 0) {
      entries.forEach((host, index) => {
        const uses = buildUses(index, endpoints.length, now)
        createContext(host).send('core-0', uses)
        runLeader(() => placement.receive(host, uses as never, createContext('core-0')))
      })
    }
    runLeader(() => placement.run(createContext('core-0')))
  }
  const seconds = MEASURED_MS / MS_PER_SECOND
  const sum = (hosts: readonly HostId[]): number => hosts.reduce((total, host) => total + (traffic.sent.get(host) ?? 0), 0)
  return {
    entryBytesPerSecond: Math.round(sum(entries) / entries.length / seconds),
    coreBytesPerSecond: Math.round((traffic.sent.get('core-1') ?? 0) / seconds),
    leaderBytesPerSecond: Math.round((traffic.sent.get('core-0') ?? 0) / seconds),
    leaderMsPerSecond: Math.round(traffic.leaderMs / seconds * 10) / 10
  }
}

async function run (): Promise<Figures> {
  const figures: Record<string, number> = {}
  for (const size of SIZES) {
    for (const [name, value] of Object.entries(runFleet(size))) figures[`${name}At${size}`] = value
  }
  return figures
}

export const fleet: Experiment = {
  name: 'fleet',
  description: 'control bytes of entry and core hosts, and the leader\'s processor time, at 70 to 560 entry hosts',
  run,
  targets: [{ key: 'entryBytesPerSecondAt560', bound: 'atMost', value: 9_000, unit: 'B/s' }]
}
