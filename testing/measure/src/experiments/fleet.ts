/**
 * Experiment: control traffic of entry and core hosts, and CPU time of the core hosts, by number of entry hosts.
 * Runs fleet membership and placement on virtual time; all hosts join through the core hosts as seeds.
 */
import type { HostId } from '@catkinferry/core.types'
import { createFleetMembership } from '@catkinferry/fleet.membership'
import type { FleetMembership } from '@catkinferry/fleet.membership'
import { createPlacement } from '@catkinferry/fleet.placement'
import type { Placement } from '@catkinferry/fleet.placement'
import type { RunContext } from '@catkinferry/host.events'
import { encodeFrame } from '@catkinferry/wire.frames'
import { FleetRole } from '@catkinferry/wire.messages'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import type { Experiment, ExperimentResults } from '../experiment.ts'

const CORE_HOSTS = 3
const SIZES = [70, 140, 280, 560]
const ENDPOINTS_PER_HOST = 11.4
const WARM_UP_MS = 5_000
const MEASURED_MS = 20_000
const TICK_MS = 20
const MS_PER_SECOND = 1_000
const KNOWN_VERSIONS = { routesVersion: 1, announcedSequence: 0, endpointsTerm: 1, endpointsSequence: 1 }

interface SizeResults {
  readonly entryBytesPerSecond: number
  readonly coreBytesPerSecond: number
  readonly leaderBytesPerSecond: number
  readonly leaderMsPerSecond: number
}

interface Measurements {
  readonly sentBytes: Map<HostId, number>
  coreCpuMs: number
}

const REGIONS = 6

/** Spreads hosts and endpoints over the regions by the number in their name. */
function findRegion (name: string): string {
  return `r${Number(name.slice(name.lastIndexOf('-') + 1)) % REGIONS}`
}

function createIdlePlacement (entries: readonly HostId[]): Placement {
  return createPlacement({
    self: 'core-0',
    getLeaderTerm: () => 1,
    takeoverDelayMs: 0,
    enginesCheckFencing: true,
    getRoutes: () => ({ version: 1, routes: [], pools: [], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }),
    getVersion: () => 1,
    getRegion: zone => zone,
    listEntryHosts: () => entries,
    listOtherCoreHosts: () => [],
    listLagMs: 0,
    hasRecentQuorum: () => true,
    getLocation: host => ({ zone: findRegion(host), region: findRegion(host) }),
    sendOrder: () => undefined,
    pollList: () => undefined
  })
}

/** Builds the use report of one entry host, which runs requests at a few of the endpoints. */
function buildUses (entry: number, endpoints: number, step: number): FleetMessage {
  const uses = Array.from({ length: 40 }, (_, index) => ({ endpoint: `i-${(entry * 7 + index * 13 + step) % endpoints}`, adapterKey: `m/a${index}@1`, begun: 1, running: 1 }))
  return { kind: 'fleet.use', uses }
}

function measureSize (entryCount: number): SizeResults {
  const entries = Array.from({ length: entryCount }, (_, index) => `entry-${index}`)
  const core = Array.from({ length: CORE_HOSTS }, (_, index) => `core-${index}`)
  const measurements: Measurements = { sentBytes: new Map(), coreCpuMs: 0 }
  const members = new Map<HostId, FleetMembership>()
  const placement = createIdlePlacement(entries)
  let now = 0
  const endpoints = Array.from({ length: Math.round(entryCount * ENDPOINTS_PER_HOST) }, (_, index) => `i-${index}`)
  /** The message encoded last; a message to many hosts is encoded once. */
  let lastEncoded: { message: PeerMessage, bytes: number } | undefined

  function countBytes (message: PeerMessage): number {
    if (lastEncoded?.message === message) return lastEncoded.bytes
    const frame = encodeFrame(message)
    lastEncoded = { message, bytes: frame.ok ? frame.value.byteLength : 0 }
    return lastEncoded.bytes
  }

  function createContext (from: HostId): RunContext {
    return {
      now,
      wallNow: now,
      emit: () => undefined,
      send: (to, message) => {
        measurements.sentBytes.set(from, (measurements.sentBytes.get(from) ?? 0) + countBytes(message))
        if (message.kind === 'fleet.hello' || message.kind === 'fleet.welcome') members.get(to)?.receive(from, message, createContext(to))
      }
    }
  }

  for (const host of [...core, ...entries]) {
    const isCore = host.startsWith('core')
    members.set(host, createFleetMembership({ self: { host, zone: 'z', region: 'r' }, role: isCore ? FleetRole.CORE : FleetRole.ENTRY, getSeeds: () => core, getHeld: () => KNOWN_VERSIONS, ...(isCore ? { getLeaderStatus: () => ({ leader: 'core-0', inContact: true, routesVersion: 1 }) } : {}) }))
  }

  placement.run(createContext('core-0'))
  placement.receiveList(endpoints.map(endpoint => ({ endpoint, pool: 'p', zone: findRegion(endpoint), address: '10.0.0.1:1', leaving: false })), createContext('core-0'))

  function measureCoreCpu (work: () => void): void {
    const startedAt = performance.now()
    work()
    measurements.coreCpuMs += performance.now() - startedAt
  }

  for (; now < WARM_UP_MS + MEASURED_MS; now += TICK_MS) {
    if (now === WARM_UP_MS) {
      measurements.sentBytes.clear()
      measurements.coreCpuMs = 0
    }
    for (const host of entries) members.get(host)?.run(createContext(host))
    measureCoreCpu(() => { for (const host of core) members.get(host)?.run(createContext(host)) })
    if (now % 400 === 0) {
      entries.forEach((host, index) => {
        const uses = buildUses(index, endpoints.length, now)
        createContext(host).send('core-0', uses)
        measureCoreCpu(() => placement.receive(host, uses as never, createContext('core-0')))
      })
    }
    measureCoreCpu(() => placement.run(createContext('core-0')))
  }
  const seconds = MEASURED_MS / MS_PER_SECOND
  const sum = (hosts: readonly HostId[]): number => hosts.reduce((total, host) => total + (measurements.sentBytes.get(host) ?? 0), 0)
  return {
    entryBytesPerSecond: Math.round(sum(entries) / entries.length / seconds),
    coreBytesPerSecond: Math.round((measurements.sentBytes.get('core-1') ?? 0) / seconds),
    leaderBytesPerSecond: Math.round((measurements.sentBytes.get('core-0') ?? 0) / seconds),
    leaderMsPerSecond: Math.round(measurements.coreCpuMs / seconds * 10) / 10
  }
}

async function run (): Promise<ExperimentResults> {
  const results: Record<string, number> = {}
  for (const size of SIZES) {
    for (const [name, value] of Object.entries(measureSize(size))) results[`${name}At${size}`] = value
  }
  return results
}

export const fleet: Experiment = {
  name: 'fleet',
  description: 'control bytes of entry and core hosts, and the leader\'s CPU time, at 70 to 560 entry hosts',
  run,
  targets: [{ key: 'entryBytesPerSecondAt560', bound: 'atMost', value: 9_000, unit: 'B/s' }]
}
