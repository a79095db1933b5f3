/** Simulated deployment: host cores, engines, services, a platform list, callers and operators on one virtual time. Starts, crashes and observes the hosts. */
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { EndpointRow, OperatorCall, OperatorReply } from '@catkinferry/core.types'
import type { HostOutput } from '@catkinferry/host.events'
import { createOracle } from '@catkinferry/testing.oracle'
import type { Observation, Oracle } from '@catkinferry/testing.oracle'
import { createCallers } from './callers.ts'
import type { Callers } from './callers.ts'
import { createFakeDisk } from './fakeDisk.ts'
import type { FakeDisk } from './fakeDisk.ts'
import { createFakeEngine } from './fakeEngine.ts'
import type { FakeEngine } from './fakeEngine.ts'
import { createFakeService } from './fakeService.ts'
import type { FakeService } from './fakeService.ts'
import { createNetworkFaults } from './faults.ts'
import type { NetworkFaults } from './faults.ts'
import { executeOutput } from './outputHandlers.ts'
import { createScheduler } from './scheduler.ts'
import type { Scheduler } from './scheduler.ts'
import { createSimHost } from './simHost.ts'
import type { SimHost } from './simHost.ts'
import { buildPeers, ENGINE_POOL, MODEL, SERVICE_ROUTE } from './topology.ts'
import type { DeploymentShape, ZoneShape } from './topology.ts'

/** Name of the platform as a participant of the network. */
export const PLATFORM = 'platform'
/** Delay until the platform list shows a change. */
const PLATFORM_LAG_MS = 1_000
const REPORT_LAG_MS = 300
const ANSWER_PART_MS = 40
const SERVICE_CALL_MS = 60
const REVISION_POLL_MS = 500
const GROUP = 'simulated'
/** Maximum number of log lines kept for the trace of a failure. */
const MAX_LOG_LINES = 4_000

/** State that the handlers of host outputs read and change. */
export interface ClusterState {
  readonly shape: DeploymentShape
  readonly scheduler: Scheduler
  readonly random: Random
  readonly faults: NetworkFaults
  readonly oracle: Oracle
  readonly hosts: Map<string, SimHost>
  readonly disks: Map<string, FakeDisk>
  readonly engines: Map<string, FakeEngine>
  readonly services: Map<string, FakeService>
  /** Hosts that the platform no longer lists. */
  readonly delistedHosts: Set<string>
  /** Endpoints that the platform list shows now, after its lag. */
  readonly listed: Map<string, EndpointRow>
  readonly callers: Callers
  readonly operatorReplies: Map<string, (reply: OperatorReply) => void>
  readonly healthy: Map<string, boolean>
  readonly connections: Map<string, Connection>
  readonly log: string[]
  readonly observe: (observation: Observation) => void
  opCount: number
  /** Called with each output of a host before it is executed. */
  onOutput: ((host: string, output: HostOutput) => void) | undefined
}

/** An open connection from a host to an endpoint; `connections` is keyed by attempt or order id. */
export interface Connection {
  readonly host: string
  readonly incarnation: number
  readonly endpoint: string
  lastArrivalAt: number
  lastAnswerAt: number
  closed: boolean
}

export interface Cluster extends Omit<ClusterState, 'opCount' | 'onOutput'> {
  readonly setOnOutput: (listener: ClusterState['onOutput']) => void
  readonly runFor: (durationMs: number) => void
  readonly start: (host: string, opts?: { readonly disk?: 'kept' | 'wiped' }) => void
  readonly crash: (host: string) => void
  readonly stopGracefully: (host: string) => void
  readonly sendOperatorRequest: (opts: { readonly host: string, readonly call: OperatorCall, readonly who?: string, readonly onReply: (reply: OperatorReply) => void }) => void
  readonly setLeaving: (endpoint: string) => void
  readonly listHostNames: () => string[]
}

function buildRows (zone: ZoneShape, kind: 'engine' | 'service'): EndpointRow[] {
  const count = kind === 'engine' ? zone.engines : zone.services
  return Array.from({ length: count }, (_, index) => ({
    endpoint: `${zone.zone}-${kind}-${index}`,
    kind,
    zone: zone.zone,
    region: zone.region,
    url: `http://${zone.zone}-${kind}-${index}`,
    pool: kind === 'engine' ? ENGINE_POOL : SERVICE_ROUTE,
    model: kind === 'engine' ? MODEL : undefined,
    leaving: false
  }))
}

function addEndpoints (cluster: ClusterState): void {
  const { scheduler, observe, shape } = cluster
  for (const zone of shape.zones) {
    for (const row of buildRows(zone, 'engine')) {
      cluster.listed.set(row.endpoint, row)
      cluster.engines.set(row.endpoint, createFakeEngine({
        endpoint: row.endpoint,
        pool: ENGINE_POOL,
        slots: shape.slots,
        batchLimit: shape.batchLimit,
        loadMs: shape.loadMs,
        partMs: ANSWER_PART_MS,
        reportLagMs: REPORT_LAG_MS,
        checksFencing: shape.checksFencing,
        scheduler,
        observe
      }))
    }
    for (const row of buildRows(zone, 'service')) {
      cluster.listed.set(row.endpoint, row)
      cluster.services.set(row.endpoint, createFakeService({ endpoint: row.endpoint, callMs: SERVICE_CALL_MS, scheduler, observe }))
    }
  }
}

function addHosts (cluster: ClusterState, opts: ClusterOptions): void {
  const peers = buildPeers(opts.shape)
  peers.forEach((peer, index) => {
    if (peer.voter) cluster.disks.set(peer.host, createFakeDisk({ scheduler: cluster.scheduler, group: GROUP, host: peer.host }))
    cluster.hosts.set(peer.host, createSimHost({
      name: peer.host,
      scheduler: cluster.scheduler,
      core: {
        self: { host: peer.host, zone: peer.zone, region: peer.region },
        path: `fleet/${peer.region}/${peer.zone}/rack-1/${peer.host}`,
        group: GROUP,
        peers,
        seed: opts.seed * 100 + index,
        compaction: COMPACTION
      },
      clockOffsetMs: cluster.random.nextInt(1_000, 1_000_000),
      clockRate: 1 + (cluster.random.nextFraction() - 0.5) * CLOCK_RATE_SPREAD,
      timeRun: opts.timeRun,
      executeOutput: (output, incarnation) => { executeOutput(cluster, peer.host, incarnation, output) }
    }))
  })
}

/** Small limits, so that snapshots are taken and sent within a simulated run. */
const COMPACTION = { minBytes: 8 * 1024, tailEntries: 4 }

/** Width of the range of clock rates: local clocks run up to half a percent fast or slow. */
const CLOCK_RATE_SPREAD = 0.01

export interface ClusterOptions {
  readonly seed: number
  readonly shape: DeploymentShape
  /** Wraps each run of a core, to measure its duration. */
  readonly timeRun?: (host: string, run: () => HostOutput[]) => HostOutput[]
}

/** Whether the host lacks a two-way connection to a majority of the voters. */
function isIsolated (cluster: ClusterState, host: string): boolean {
  const { faults, disks, hosts } = cluster
  const reachableVoters = [...disks].filter(([voter, disk]) => {
    if (disk.isWiped()) return false
    if (voter === host) return true
    const peer = hosts.get(voter)
    return peer !== undefined && peer.isRunning() && !peer.isPaused() && !faults.isCut(host, voter) && !faults.isCut(voter, host)
  })
  return reachableVoters.length * 2 <= disks.size
}

/** Reports the settings revision of each host to the oracle at intervals. Hosts count as reachable only while there is no fault at all. */
function observeRevisions (cluster: ClusterState): void {
  let faultlessSince: number | undefined
  const pollRevisions = (): void => {
    const at = cluster.scheduler.getNow()
    const faultless = cluster.faults.isFaultless() && [...cluster.hosts.values()].every(host => host.isRunning() && !host.isPaused())
    faultlessSince = faultless ? faultlessSince ?? at : undefined
    for (const host of cluster.hosts.values()) {
      const core = host.getCore()
      if (core === undefined) continue
      cluster.observe({ kind: 'hostRevision', at, host: host.name, incarnation: host.getIncarnation(), isolated: isIsolated(cluster, host.name), ready: core.isReady(), revision: core.getRevision(), reachableSince: faultlessSince })
    }
    cluster.scheduler.add(REVISION_POLL_MS, pollRevisions)
  }
  cluster.scheduler.add(REVISION_POLL_MS, pollRevisions)
}

function startHost (cluster: ClusterState, name: string, disk: 'kept' | 'wiped'): void {
  const host = cluster.hosts.get(name)
  if (host === undefined || host.isRunning()) return
  const stored = cluster.disks.get(name)
  if (disk === 'wiped') stored?.wipe()
  host.start(stored?.read())
}

function closeConnections (cluster: ClusterState, host: string): void {
  for (const [id, connection] of cluster.connections) {
    if (connection.host !== host) continue
    connection.closed = true
    cluster.connections.delete(id)
    if (cluster.faults.isCut(host, connection.endpoint)) continue
    cluster.engines.get(connection.endpoint)?.cancel(id)
    cluster.services.get(connection.endpoint)?.cancel(id)
  }
}

function crashHost (cluster: ClusterState, name: string): void {
  const host = cluster.hosts.get(name)
  if (host === undefined || !host.isRunning()) return
  host.stop()
  cluster.disks.get(name)?.crash()
  cluster.healthy.delete(name)
  cluster.callers.abandonAll(name)
  closeConnections(cluster, name)
}

function setLeaving (cluster: ClusterState, endpoint: string): void {
  const row = cluster.listed.get(endpoint)
  if (row === undefined || row.leaving) return
  cluster.scheduler.add(PLATFORM_LAG_MS, () => { cluster.listed.set(endpoint, { ...row, leaving: true }) })
  const observeOnceFaultless = (): void => {
    if (cluster.faults.isFaultless()) cluster.observe({ kind: 'endpointLeaving', at: cluster.scheduler.getNow(), endpoint })
    else cluster.scheduler.add(PLATFORM_LAG_MS, observeOnceFaultless)
  }
  cluster.scheduler.add(0, observeOnceFaultless)
}

/** Creates a deployment and starts all its hosts. */
export function createCluster (opts: ClusterOptions): Cluster {
  const scheduler = createScheduler()
  const random = createRandom(opts.seed)
  const oracle = createOracle()
  const log: string[] = []
  const observe = (observation: Observation): void => { oracle.observe(observation) }
  const state: ClusterState = {
    shape: opts.shape,
    scheduler,
    random,
    faults: createNetworkFaults({ random }),
    oracle,
    hosts: new Map(),
    disks: new Map(),
    engines: new Map(),
    services: new Map(),
    delistedHosts: new Set(),
    listed: new Map(),
    callers: createCallers({ observe, getNow: scheduler.getNow }),
    operatorReplies: new Map(),
    healthy: new Map(),
    connections: new Map(),
    log,
    observe,
    opCount: 0,
    onOutput: undefined
  }
  addEndpoints(state)
  addHosts(state, opts)
  for (const name of state.hosts.keys()) startHost(state, name, 'kept')
  observeRevisions(state)
  return {
    ...state,
    runFor: durationMs => { scheduler.runUntil(scheduler.getNow() + durationMs) },
    start: (host, given) => { startHost(state, host, given?.disk ?? 'kept') },
    crash: host => { crashHost(state, host) },
    stopGracefully: name => {
      observe({ kind: 'hostStopping', at: scheduler.getNow(), host: name })
      state.hosts.get(name)?.receive({ kind: 'host.stop' })
    },
    sendOperatorRequest: ({ host, call, who, onReply }) => {
      const opId = `op-${state.opCount++}`
      state.operatorReplies.set(opId, onReply)
      const operator = { name: who ?? 'operator', role: 'admin' as const, from: '127.0.0.1' }
      state.hosts.get(host)?.receive({ kind: 'operator.request', opId, request: { operator, ...call } })
    },
    setLeaving: endpoint => { setLeaving(state, endpoint) },
    setOnOutput: listener => { state.onOutput = listener },
    listHostNames: () => [...state.hosts.keys()]
  }
}

/** Adds a line to the log and drops the older half when the log is full. */
export function addLogLine (cluster: ClusterState, line: string): void {
  cluster.log.push(`${cluster.scheduler.getNow().toFixed(0).padStart(8)} ${line}`)
  if (cluster.log.length > MAX_LOG_LINES) cluster.log.splice(0, MAX_LOG_LINES / 2)
}
