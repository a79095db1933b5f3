/**
 * Runs catkinferry in the policy experiment: entry hosts with the real request routing and zone coordination, over a
 * network with delays, in front of simulated engines.
 */
import type { AdapterWork, EndpointRow, HostLocation, PeerRow } from '@catkinferry/core.types'
import { EndpointKind } from '@catkinferry/core.types'
import type { HostOutput } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { Deployment } from './deployments.ts'
import { createEngineDriver } from './engineDriver.ts'
import type { EngineDriver } from './engineDriver.ts'
import type { PolicyResults } from './results.ts'
import { createSimFleet } from './fleet.ts'
import type { SimFleet } from './fleet.ts'
import { createSimHost } from './simHost.ts'
import type { SimHost } from './simHost.ts'
import { createSimSettings, POOL } from './simSettings.ts'
import type { Arrival, Workload } from './workload.ts'
import { RUN_END_MS } from './workload.ts'

const SAME_ZONE_DELAY_MS = 0.5
const SAME_REGION_DELAY_MS = 1
const CROSS_REGION_DELAY_MS = 5
const PLATFORM_DELAY_MS = 5
const BYTES_PER_TOKEN = 5

interface FleetWithHosts extends SimFleet {
  readonly hosts: ReadonlyMap<string, SimHost>
  readonly arrivals: ReadonlyMap<string, Arrival>
}

function listLocations (deployment: Deployment): HostLocation[] {
  return deployment.zones.flatMap(({ zone, region, hosts }) =>
    Array.from({ length: hosts }, (_, number) => ({ host: `${zone}-h${number}`, zone, region })))
}

function getDelay (from: HostLocation, to: HostLocation): number {
  if (from.zone === to.zone) return SAME_ZONE_DELAY_MS
  return from.region === to.region ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS
}

function sendPeerMessage (fleet: FleetWithHosts, from: HostLocation, to: string, message: PeerMessage): void {
  const target = fleet.hosts.get(to)
  if (target === undefined) return
  const crossesZones = target.location.zone !== from.zone
  if (crossesZones && (fleet.isPartitioned(from.zone) || fleet.isPartitioned(target.location.zone))) return
  if (target.location.region !== from.region) fleet.recorder.addCrossRegionBytes(JSON.stringify(message).length)
  fleet.time.scheduleAfter(getDelay(from, target.location), () => target.receivePeer(from.host, message))
}

function listEndpoints (fleet: SimFleet): EndpointRow[] {
  return fleet.engines.map(({ id, zone, region }) => ({ endpoint: id, kind: EndpointKind.ENGINE, zone, region, url: `http://${id}`, pool: POOL, leaving: false }))
}

function sendPlatformList (fleet: FleetWithHosts, host: SimHost): void {
  const hosts = [...fleet.hosts.values()].map(({ location }) => ({ host: location.host, zone: location.zone, leaving: false }))
  fleet.time.scheduleAfter(PLATFORM_DELAY_MS, () => host.receive({ kind: 'platform.list', endpoints: listEndpoints(fleet), hosts }))
}

function endRequest (fleet: FleetWithHosts, requestId: string, kind: 'done' | 'refused' | 'failed', driver: EngineDriver): void {
  const arrival = fleet.arrivals.get(requestId)
  if (arrival === undefined) return
  const now = fleet.time.getNow()
  fleet.recorder.recordOutcome(arrival, { kind, at: now, stallMs: driver.getStall(requestId) ?? (kind === 'done' ? 0 : now - arrival.at) })
}

type OutputHandlers = { readonly [Kind in HostOutput['kind']]?: (output: Extract<HostOutput, { kind: Kind }>) => void }

function createOutputHandlers (fleet: FleetWithHosts, getHost: () => SimHost, driver: EngineDriver): OutputHandlers {
  return {
    'attempt.start': start => driver.start(getHost(), start),
    'attempt.cancel': ({ attemptId }) => driver.cancel(attemptId),
    'order.send': order => driver.order(getHost(), order),
    'endpoint.poll': ({ endpoint }) => driver.poll(getHost(), endpoint),
    'platform.poll': () => sendPlatformList(fleet, getHost()),
    'caller.end': ({ requestId }) => endRequest(fleet, requestId, 'done', driver),
    'caller.fail': ({ requestId, failure }) => endRequest(fleet, requestId, failure.ran === 'no' ? 'refused' : 'failed', driver)
  }
}

function buildWork (arrival: Arrival): AdapterWork {
  return {
    kind: 'adapter',
    adapter: arrival.adapter,
    form: 'completions',
    body: { prompt: 'x'.repeat(arrival.promptBytes) },
    stream: false,
    promptTokens: Math.round(arrival.promptBytes / BYTES_PER_TOKEN),
    maxTokens: arrival.tokens
  }
}

function submitArrival (hosts: readonly SimHost[], arrival: Arrival): void {
  const zoneHosts = hosts.filter(({ location }) => location.zone === arrival.zone)
  const { requestId, serviceClass, deadlineMs } = arrival
  zoneHosts[arrival.hostPick % zoneHosts.length]?.receive({
    kind: 'caller.submit',
    request: { requestId, caller: `caller-${arrival.hostPick % 20}`, work: buildWork(arrival), idempotent: true, serviceClass, deadlineMs }
  })
}

/** Runs catkinferry with the same engines, store, arrivals and faults as the baselines. */
export function runCatkinferry (opts: { readonly deployment: Deployment, readonly workload: Workload, readonly seed: number, readonly overrides?: Readonly<Record<string, unknown>>, readonly onEnd?: (hosts: readonly SimHost[]) => void }): PolicyResults {
  const { deployment, workload, seed } = opts
  const hosts = new Map<string, SimHost>()
  const fleet: FleetWithHosts = { ...createSimFleet(deployment, workload), hosts, arrivals: new Map(workload.arrivals.map(arrival => [arrival.requestId, arrival])) }
  const locations = listLocations(deployment)
  const peers: PeerRow[] = locations.map(location => ({ ...location, address: '', voter: false, leaseVoter: true }))
  const settings = createSimSettings({ ...deployment.settings, ...opts.overrides })
  const driver = createEngineDriver(fleet, fleet.arrivals)
  locations.forEach((location, index) => {
    const handlers = createOutputHandlers(fleet, () => host, driver)
    const host: SimHost = createSimHost({
      location,
      peers,
      settings,
      time: fleet.time,
      seed: seed * 100 + index,
      emit: output => { (handlers[output.kind] as ((output: HostOutput) => void) | undefined)?.(output) },
      sendPeer: (to, message) => sendPeerMessage(fleet, location, to, message)
    })
    hosts.set(location.host, host)
    fleet.time.scheduleAt(0, host.begin)
  })
  const allHosts = [...hosts.values()]
  for (const arrival of workload.arrivals) fleet.time.scheduleAt(arrival.at, () => submitArrival(allHosts, arrival))
  fleet.time.runUntil(RUN_END_MS)
  opts.onEnd?.(allHosts)
  return fleet.recorder.summarise(workload.arrivals, fleet.engines)
}
