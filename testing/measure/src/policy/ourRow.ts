/** The row of the real systems: entry hosts that talk over a network with delays, before the model engines. */
import type { AdapterWork, EndpointRow, HostPlace, PeerRow } from '@catkinferry/core.types'
import { EndpointKind } from '@catkinferry/core.types'
import type { HostOutput } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { Deployment } from './deployments.ts'
import { createEngineDriver } from './engineDriver.ts'
import type { EngineDriver } from './engineDriver.ts'
import type { RowFigures } from './figures.ts'
import { createFleet } from './fleet.ts'
import type { Fleet } from './fleet.ts'
import { createSimHost } from './simHost.ts'
import type { SimHost } from './simHost.ts'
import { createSimSettings, POOL } from './simSettings.ts'
import type { Arrival, Workload } from './workload.ts'
import { RUN_END_MS } from './workload.ts'

const NEAR_MS = 0.5
const ZONE_MS = 1
const REGION_MS = 5
const PLATFORM_MS = 5
const BYTES_PER_TOKEN = 5

interface OurFleet extends Fleet {
  readonly hosts: ReadonlyMap<string, SimHost>
  readonly arrivals: ReadonlyMap<string, Arrival>
}

function listPlaces (deployment: Deployment): HostPlace[] {
  return deployment.zones.flatMap(({ zone, region, hosts }) =>
    Array.from({ length: hosts }, (_, number) => ({ host: `${zone}-h${number}`, zone, region })))
}

function getDelay (from: HostPlace, to: HostPlace): number {
  if (from.zone === to.zone) return NEAR_MS
  return from.region === to.region ? ZONE_MS : REGION_MS
}

function carryPeer (fleet: OurFleet, from: HostPlace, to: string, message: PeerMessage): void {
  const target = fleet.hosts.get(to)
  if (target === undefined) return
  const crossesZones = target.place.zone !== from.zone
  if (crossesZones && (fleet.isCut(from.zone) || fleet.isCut(target.place.zone))) return
  if (target.place.region !== from.region) fleet.recorder.addRegionBytes(JSON.stringify(message).length)
  fleet.time.after(getDelay(from, target.place), () => target.receivePeer(from.host, message))
}

function listEndpoints (fleet: Fleet): EndpointRow[] {
  return fleet.engines.map(({ id, zone, region }) => ({ endpoint: id, kind: EndpointKind.ENGINE, zone, region, url: `http://${id}`, pool: POOL, leaving: false }))
}

function answerPlatform (fleet: OurFleet, host: SimHost): void {
  const hosts = [...fleet.hosts.values()].map(({ place }) => ({ host: place.host, zone: place.zone, leaving: false }))
  fleet.time.after(PLATFORM_MS, () => host.receive({ kind: 'platform.list', endpoints: listEndpoints(fleet), hosts }))
}

function endRequest (fleet: OurFleet, requestId: string, kind: 'done' | 'refused' | 'failed', driver: EngineDriver): void {
  const arrival = fleet.arrivals.get(requestId)
  if (arrival === undefined) return
  const now = fleet.time.getNow()
  fleet.recorder.end(arrival, { kind, at: now, stallMs: driver.getStall(requestId) ?? (kind === 'done' ? 0 : now - arrival.at) })
}

type OutputHandlers = { readonly [Kind in HostOutput['kind']]?: (output: Extract<HostOutput, { kind: Kind }>) => void }

function createOutputHandlers (fleet: OurFleet, getHost: () => SimHost, driver: EngineDriver): OutputHandlers {
  return {
    'attempt.start': start => driver.start(getHost(), start),
    'attempt.cancel': ({ attemptId }) => driver.cancel(attemptId),
    'order.send': order => driver.order(getHost(), order),
    'endpoint.poll': ({ endpoint }) => driver.poll(getHost(), endpoint),
    'platform.poll': () => answerPlatform(fleet, getHost()),
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

function submit (hosts: readonly SimHost[], arrival: Arrival): void {
  const near = hosts.filter(({ place }) => place.zone === arrival.zone)
  const { requestId, serviceClass, deadlineMs } = arrival
  near[arrival.hostPick % near.length]?.receive({
    kind: 'caller.submit',
    request: { requestId, caller: `caller-${arrival.hostPick % 20}`, work: buildWork(arrival), idempotent: true, serviceClass, deadlineMs }
  })
}

/** Runs the real systems against the same engines, store, arrivals and faults as the baselines. */
export function runOurs (opts: { readonly deployment: Deployment, readonly workload: Workload, readonly seed: number, readonly overrides?: Readonly<Record<string, unknown>>, readonly onEnd?: (hosts: readonly SimHost[]) => void }): RowFigures {
  const { deployment, workload, seed } = opts
  const hosts = new Map<string, SimHost>()
  const fleet: OurFleet = { ...createFleet(deployment, workload), hosts, arrivals: new Map(workload.arrivals.map(arrival => [arrival.requestId, arrival])) }
  const places = listPlaces(deployment)
  const peers: PeerRow[] = places.map(place => ({ ...place, address: '', voter: false, leaseVoter: true }))
  const settings = createSimSettings({ ...deployment.settings, ...opts.overrides })
  const driver = createEngineDriver(fleet, fleet.arrivals)
  places.forEach((place, index) => {
    const handlers = createOutputHandlers(fleet, () => host, driver)
    const host: SimHost = createSimHost({
      place,
      peers,
      settings,
      time: fleet.time,
      seed: seed * 100 + index,
      emit: output => { (handlers[output.kind] as ((output: HostOutput) => void) | undefined)?.(output) },
      sendPeer: (to, message) => carryPeer(fleet, place, to, message)
    })
    hosts.set(place.host, host)
    fleet.time.at(0, host.begin)
  })
  const all = [...hosts.values()]
  for (const arrival of workload.arrivals) fleet.time.at(arrival.at, () => submit(all, arrival))
  fleet.time.runUntil(RUN_END_MS)
  opts.onEnd?.(all)
  return fleet.recorder.summarise(workload.arrivals, fleet.engines)
}
