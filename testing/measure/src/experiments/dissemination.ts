/** Experiment: traffic and delay of settings dissemination at the target size, on virtual time with encoded messages. */
import { createRandom } from '@catkinferry/core.random'
import type { HostId, PeerRow } from '@catkinferry/core.types'
import { createDisseminationFleet } from '../dissemination/fleet.ts'
import type { DisseminationFleet } from '../dissemination/fleet.ts'
import type { Experiment, ExperimentResults } from '../experiment.ts'
import { listDailyChanges } from '../memory/adapterCommands.ts'

const REGIONS = 6
const ZONES = 16
const HOSTS_PER_ZONE = 35
const VOTER_ZONES = [0, 5, 11, 3, 8]
const ADAPTERS = 120_000
const CHANGES_PER_DAY = 4_600
const DAY_MS = 86_400_000
/** Relay of a zone without a voter. */
const KILLED_RELAY = 'zone-1-host-0'
const START_UP_MS = 20_000
const IDLE_MS = 60_000
const CHANGES = 20
const STEP_MS = 1
const IN_FORCE_LIMIT_MS = 8_000

function createPeers (): PeerRow[] {
  return Array.from({ length: ZONES * HOSTS_PER_ZONE }, (_, index) => {
    const zone = Math.floor(index / HOSTS_PER_ZONE)
    const voter = VOTER_ZONES.includes(zone) && index % HOSTS_PER_ZONE === 0
    return { host: `zone-${zone}-host-${index % HOSTS_PER_ZONE}`, zone: `zone-${zone}`, region: `region-${zone % REGIONS}`, address: '', voter, leaseVoter: false }
  })
}

interface TrafficRates {
  readonly relayMax: number
  readonly voterMax: number
  readonly hostMax: number
  /** Total over all links between regions. */
  readonly longLinks: number
}

/** IPv4 and TCP headers (with TCP timestamps) of one message and of the packet that acknowledges it. */
const HEADER_BYTES = 2 * 52

/** Finds the highest bytes per second of a host in each role: sent and received together, with headers. */
function measureTraffic (fleet: DisseminationFleet, peers: readonly PeerRow[], ms: number): TrafficRates {
  const getBytesPerSecond = (host: HostId): number => {
    const row = fleet.traffic.get(host)!
    return Math.round((row.sent + row.received + row.messages * HEADER_BYTES) * 1_000 / ms)
  }
  const isRelay = (peer: PeerRow): boolean => !peer.voter && peer.host.endsWith('-host-0')
  const getHighest = (chosen: readonly PeerRow[]): number => Math.max(...chosen.map(peer => getBytesPerSecond(peer.host)))
  return {
    relayMax: getHighest(peers.filter(isRelay)),
    voterMax: getHighest(peers.filter(peer => peer.voter)),
    hostMax: getHighest(peers.filter(peer => !peer.voter && !isRelay(peer))),
    longLinks: Math.round(fleet.getLongLinkBytes() * 1_000 / ms)
  }
}

function measureInForceMs (fleet: DisseminationFleet, hosts: number): number {
  const startedAt = fleet.getNow()
  while (fleet.countInForce() < hosts && fleet.getNow() - startedAt < IN_FORCE_LIMIT_MS) fleet.advance(STEP_MS)
  return fleet.getNow() - startedAt
}

async function run (opts: { seed: number }): Promise<ExperimentResults> {
  const peers = createPeers()
  const random = createRandom(opts.seed)
  const fleet = createDisseminationFleet({ peers, seed: opts.seed })
  fleet.advance(START_UP_MS)
  const readyHosts = fleet.countInForce()
  fleet.resetTraffic()
  fleet.advance(IDLE_MS)
  const idleBytesPerSecond = measureTraffic(fleet, peers, IDLE_MS)
  fleet.resetTraffic()
  const operator = { name: 'operator', role: 'write', from: '10.0.0.1' } as const
  const models = Array.from({ length: 5 }, (_, index) => ({ path: `models/model-${index}`, expectedRevision: 0, values: {} }))
  fleet.commit({ kind: 'settings.change', changeId: 'models', operator, changes: models })
  fleet.advance(1_000)
  const inForceDelaysMs: number[] = []
  const changesStartedAt = fleet.getNow()
  fleet.resetTraffic()
  for (const command of listDailyChanges({ count: CHANGES, adapters: ADAPTERS, random, getRevision: () => 0 })) {
    const before = fleet.getNow()
    fleet.commit(command)
    inForceDelaysMs.push(measureInForceMs(fleet, readyHosts))
    fleet.advance(DAY_MS / CHANGES_PER_DAY - (fleet.getNow() - before))
  }
  const busyBytesPerSecond = measureTraffic(fleet, peers, fleet.getNow() - changesStartedAt)
  fleet.kill(KILLED_RELAY)
  fleet.commit({ kind: 'settings.change', changeId: 'after the loss', operator, changes: [{ path: 'fleet', expectedRevision: 0, values: { 'queue.limit': 1 } }] })
  const relayLossHealMs = measureInForceMs(fleet, readyHosts - 1)
  return {
    hosts: peers.length,
    zones: ZONES,
    readyHosts,
    changesPerDay: CHANGES_PER_DAY,
    idleBytesPerSecond,
    busyBytesPerSecond,
    inForceVirtualMsMax: Math.max(...inForceDelaysMs),
    relayLossHealMs
  }
}

/** Bytes per host include frames and TCP/IP headers; bytes on links between regions include frames but no headers. */
export const dissemination: Experiment = {
  name: 'dissemination',
  description: 'traffic of settings at 560 hosts and 4,600 changes a day, virtual time',
  targets: [
    { key: 'busyBytesPerSecond.relayMax', bound: 'atMost', value: 9_000, unit: 'bytes/s' },
    { key: 'busyBytesPerSecond.voterMax', bound: 'atMost', value: 9_000, unit: 'bytes/s' },
    { key: 'relayLossHealMs', bound: 'atMost', value: 2_000, unit: 'ms' },
    { key: 'inForceVirtualMsMax', bound: 'atMost', value: 8_000, unit: 'ms' }
  ],
  run
}
