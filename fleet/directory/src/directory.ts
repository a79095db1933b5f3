/**
 * Directory of an entry host, for its relay: routes, adapter versions and endpoints as published by the core hosts. The relay
 * reads it for each request. On runs of the host's loop, it sends load requests and usage reports to the leader.
 */
import { createQuotaMeter } from '@catkinferry/accounts.quotas'
import type { QuotaDecision, QuotaMeter } from '@catkinferry/accounts.quotas'
import { createRandom } from '@catkinferry/core.random'
import type { Account, AdapterKey, AdapterName, EndpointId, HostId, ModelId, MonotonicMs, RequestTrait, RequestLimit, RouteChanges, RouteTable } from '@catkinferry/core.types'
import type { RunContext, System } from '@catkinferry/host.events'
import { applyRouteChanges, unpackRouteTable } from '@catkinferry/routes.table'
import type { FleetMessage, HeldState } from '@catkinferry/wire.messages'
import { createEndpointTable, listUnusable } from './endpointTable.ts'
import type { DirectoryEndpoint, EndpointTable, EndpointUpdate } from './endpointTable.ts'
import { createTraitReports } from './traitReports.ts'
import type { BrokenRequest } from './crashReports.ts'
import { createFleetLoads } from './fleetLoads.ts'
import type { OthersLoad } from './fleetLoads.ts'
import { createLeaderReports } from './leaderReports.ts'
import type { LeaderReports } from './leaderReports.ts'
import { createLoadRequests } from './loadRequests.ts'
import type { LoadAnswer, LoadRequest } from './loadRequests.ts'
import { createAnnouncedVersions } from './announcedVersions.ts'
import type { Announced } from './announcedVersions.ts'
import { createRouteStore } from './activeRoutes.ts'
import { createSlotUses } from './slotUses.ts'
import type { SlotUses } from './slotUses.ts'
import { createStreamOrigins } from './streamOrigins.ts'
import type { StreamOrigins } from './streamOrigins.ts'
import type { ActiveRoutes, RouteStore } from './activeRoutes.ts'

export type { DirectoryEndpoint } from './endpointTable.ts'

export type DirectoryMessage = Extract<FleetMessage, { kind: 'fleet.routes' | 'fleet.packedRoutes' | 'fleet.routeChanges' | 'fleet.announced' | 'fleet.endpoints' | 'fleet.load' | 'fleet.watchedParts' | 'fleet.quarantine' | 'fleet.quotas' | 'fleet.originAnswer' | 'fleet.originsMissing' | 'load.given' | 'load.refused' }>

/** Maximum replica requests queued while no leader is known. */
const MAX_PENDING_REPLICA_REQUESTS = 64
/** Limits of the log line on endpoints that are left out. */
const MAX_EXAMPLES = 3
const MAX_LOGGED_ID_LENGTH = 64

export interface Directory extends System<DirectoryMessage> {
  /** What this host has received, named in its hellos so that core hosts send what is missing. */
  readonly getHeld: () => HeldState
  readonly getRoutes: () => ActiveRoutes | undefined
  readonly listEndpoints: (pool: string) => readonly DirectoryEndpoint[]
  readonly getEndpoint: (endpoint: EndpointId) => DirectoryEndpoint | undefined
  readonly getEndpointCount: () => number
  /** Undefined if no version of the adapter was announced. */
  readonly getAnnounced: (model: ModelId, adapter: AdapterName) => Announced | undefined
  readonly requestLoad: (request: LoadRequest, onAnswer: (answer: LoadAnswer) => void) => void
  /** Requests one more replica besides those on the given endpoints. There is no answer. */
  readonly requestReplica: (request: Omit<LoadRequest, 'askedAt' | 'waitMs' | 'deadlineAt' | 'onTimeUntil' | 'workId' | 'avoid'> & { readonly existingReplicas: readonly EndpointId[] }) => void
  /** Requests of other entry hosts at an endpoint. */
  readonly getOthersLoad: (endpoint: EndpointId) => OthersLoad | undefined
  /** Counts a request as running at an endpoint. `adapterKey` is empty for a request without an adapter. */
  readonly recordBegun: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordEnded: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Records that no request uses an adapter that the leader granted. */
  readonly recordUnused: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Removes an adapter that the endpoint answered it does not have. */
  readonly dropResident: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Counts a failed attempt at an endpoint: an error response, a broken connection, or no response at all. */
  readonly recordFailed: (endpoint: EndpointId) => void
  /** Sets whether requests wait at an endpoint that sends no bytes on any connection. */
  readonly setSilent: (endpoint: EndpointId, silent: boolean) => void
  /** Sets whether this host can open no connection to an endpoint. */
  readonly setUnreachable: (endpoint: EndpointId, unreachable: boolean) => void
  /** Reports to the leader that an instance of an endpoint announced its departure. */
  readonly recordLeaving: (endpoint: EndpointId, bornAt: number | undefined) => void
  /** Reports to the leader what an instance of an endpoint said of its request limit. */
  readonly recordLimit: (endpoint: EndpointId, bornAt: number | undefined, limit: RequestLimit) => void
  /** Reports to the leader that the connection of a request broke before its response was complete. */
  readonly recordBroken: (request: BrokenRequest, now: MonotonicMs) => void
  /** Records that no connection to an endpoint could be opened. */
  readonly recordUnreachable: (instance: Pick<BrokenRequest, 'endpoint' | 'bornAt'>, now: MonotonicMs) => void
  /** Records that an endpoint answered a request with these traits and went on working. */
  readonly recordSound: (traits: readonly RequestTrait[], now: MonotonicMs) => void
  /** The first of these traits whose requests are refused; undefined if there is none. */
  readonly findQuarantined: (traits: readonly RequestTrait[]) => RequestTrait | undefined
  /** Counts a request of an account against its quota and decides whether it is admitted. */
  readonly tryTakeUnits: (account: Account, units: number, now: MonotonicMs) => QuotaDecision
  /** Gives the units of an admitted request back that has not run. */
  readonly giveBackUnits: QuotaMeter['giveBack']
  /** Remembers at which software version this host began a stream, and reports it to core hosts where the service runs in several. */
  readonly recordOrigin: StreamOrigins['record']
  /** The software version at which this host began a stream; undefined if it did not. */
  readonly getOrigin: StreamOrigins['get']
  /** Asks the core hosts for the software version at which a stream began, and for those that were in service since it can have begun. */
  readonly askOrigin: StreamOrigins['ask']
  /** What this host knows by itself of the software versions in which a service lately ran. */
  readonly getVersionHistory: StreamOrigins['getVersionHistory']
}

export interface DirectoryOptions {
  /** Number of entry hosts of the fleet. */
  readonly getEntryCount: () => number
  readonly getLeader: (now: MonotonicMs) => HostId | undefined
  /** Core hosts heard from recently. */
  readonly listCoreHosts: (now: MonotonicMs) => readonly HostId[]
  /** Names this start of the host in its reports. */
  readonly epoch: number
  /** Called with each newer route table that is received. */
  readonly onRoutes: (routes: ActiveRoutes) => void
  /** Called when other prompt parts or requests are quarantined than before. */
  readonly onQuarantine?: () => void
}

/** Applies an update and logs what it changed. */
function applyEndpoints (endpoints: EndpointTable, update: EndpointUpdate, context: RunContext): void {
  const { endpointsTerm } = endpoints.getHeld()
  if (!endpoints.apply(update, context.now)) return
  const unusable = listUnusable(update)
  if (unusable.length > 0) context.emit({ kind: 'log', level: 'warn', message: 'left out endpoints without usable id and address', fields: { step: 'endpoints', count: unusable.length, examples: unusable.slice(0, MAX_EXAMPLES).map(id => String(id).slice(0, MAX_LOGGED_ID_LENGTH)), term: update.term, sequence: update.sequence } })
  if (endpointsTerm !== update.term) context.emit({ kind: 'log', level: 'info', message: 'endpoints received from a new leader', fields: { step: 'endpoints', term: update.term, sequence: update.sequence, endpoints: update.rows.length } })
  for (const row of update.whole ? [] : update.rows) context.emit({ kind: 'log', level: 'info', message: 'endpoint changed', fields: { step: 'endpoints', peer: row.endpoint, leaving: row.leaving, models: row.models.length, term: update.term, sequence: update.sequence } })
  for (const endpoint of update.gone) context.emit({ kind: 'log', level: 'info', message: 'endpoint removed', fields: { step: 'endpoints', peer: endpoint, term: update.term, sequence: update.sequence } })
}

/** Applies an update. Versions whose last endpoints it removes were in service until now. */
function receiveEndpoints (endpoints: EndpointTable, origins: StreamOrigins, update: EndpointUpdate, context: RunContext): void {
  origins.recordVersions(endpoints.listAll(), context.now)
  applyEndpoints(endpoints, update, context)
  origins.recordVersions(endpoints.listAll(), context.now)
}

/** Whether the instance of an endpoint is listed and not leaving. */
function isServing (endpoints: EndpointTable, endpoint: EndpointId, bornAt: number | undefined): boolean {
  const row = endpoints.get(endpoint)
  return row !== undefined && !row.leaving && row.bornAt === bornAt
}

/** Replaces the route table by one that was received, as a whole or as changes. */
function createRouteReceivers (routes: RouteStore, onRoutes: DirectoryOptions['onRoutes']) {
  function receiveRoutes (table: RouteTable, context: RunContext): void {
    if (!routes.replace(table)) return
    context.emit({ kind: 'log', level: 'info', message: 'route table replaced', fields: { step: 'routes', version: table.version, routes: table.routes.length } })
    const active = routes.get()
    if (active !== undefined) onRoutes(active)
  }

  function receiveRouteChanges (changes: RouteChanges, context: RunContext): void {
    const held = routes.get()?.table
    if (held?.version === changes.from) receiveRoutes(applyRouteChanges(held, changes), context)
  }

  return { receiveRoutes, receiveRouteChanges }
}

/** Counts running requests for the reports to the leader and for the use of adapter slots. */
function createUseRecorders (reports: LeaderReports, slotUses: SlotUses): Pick<Directory, 'recordBegun' | 'recordEnded' | 'recordUnused'> {
  return {
    recordBegun: (endpoint, adapterKey) => {
      reports.recordBegun(endpoint, adapterKey)
      slotUses.recordBegun(endpoint, adapterKey)
    },
    recordEnded: (endpoint, adapterKey) => {
      reports.recordEnded(endpoint, adapterKey)
      slotUses.recordEnded(endpoint, adapterKey)
    },
    recordUnused: slotUses.recordUnused
  }
}

/** Creates an empty directory. */
export function createDirectory (opts: DirectoryOptions): Directory {
  const routes = createRouteStore()
  const endpoints = createEndpointTable()
  const loadRequests = createLoadRequests()
  const meter = createQuotaMeter({ getEntryCount: opts.getEntryCount, nextFraction: createRandom(opts.epoch).nextFraction })
  const reports = createLeaderReports({ isListedServing: (endpoint, bornAt) => isServing(endpoints, endpoint, bornAt), takeAccountUsage: meter.takeReport })
  const loads = createFleetLoads()
  const slotUses = createSlotUses(opts.getEntryCount)
  const announced = createAnnouncedVersions()
  const traits = createTraitReports({ onQuarantine: () => opts.onQuarantine?.() })
  const origins = createStreamOrigins({ epoch: opts.epoch, listCoreHosts: opts.listCoreHosts, getLeader: opts.getLeader, listEndpoints: endpoints.list, hasEndpoints: () => endpoints.getSize() > 0 })
  let replicaRequests: FleetMessage[] = []
  const { receiveRoutes, receiveRouteChanges } = createRouteReceivers(routes, opts.onRoutes)

  const handlers: { readonly [Kind in DirectoryMessage['kind']]: (message: Extract<DirectoryMessage, { kind: Kind }>, context: RunContext, from: HostId) => void } = {
    'fleet.routes': ({ table }, context) => receiveRoutes(table, context),
    'fleet.packedRoutes': ({ version, packed }, context) => { if (version > routes.getVersion()) receiveRoutes(unpackRouteTable(packed), context) },
    'fleet.routeChanges': ({ changes }, context) => receiveRouteChanges(changes, context),
    'fleet.announced': announced.receive,
    'fleet.endpoints': (update, context) => receiveEndpoints(endpoints, origins, update, context),
    'fleet.originAnswer': origins.receive,
    'fleet.originsMissing': origins.receive,
    'fleet.load': (message, { now }) => { loads.receive(message, now, reports.getReported) },
    'fleet.watchedParts': ({ parts }, { now }) => { traits.watch(parts, now) },
    'fleet.quarantine': traits.receiveQuarantine,
    'fleet.quotas': (message, { now }) => { meter.receiveQuotas(message, now) },
    'load.given': (message, { now }) => {
      if (message.adapterKey !== undefined) endpoints.addResident(message.endpoint, message.adapterKey)
      if (!loadRequests.receive(message, now) && message.adapterKey !== undefined) slotUses.recordUnused(message.endpoint, message.adapterKey)
    },
    'load.refused': (message, { now }) => { loadRequests.receive(message, now) }
  }

  function run (context: RunContext): void {
    const leader = opts.getLeader(context.now)
    loadRequests.run(context, leader)
    const pending = replicaRequests.splice(0)
    if (leader !== undefined) for (const request of pending) context.send(leader, request)
    slotUses.run(context, leader)
    reports.run(context, leader)
    traits.run(context, leader)
    origins.run(context)
  }

  return {
    receive: (from, message, context) => { handlers[message.kind](message as never, context, from) },
    run,
    getNextAt: () => replicaRequests.length > 0 ? Number.NEGATIVE_INFINITY : Math.min(reports.getNextAt(), slotUses.getNextAt(), traits.getNextAt(), origins.getNextAt(), loadRequests.getNextAt() ?? Infinity),
    getHeld: () => ({ routesVersion: routes.getVersion(), announcedSequence: announced.getSequence(), quarantineRevision: traits.getRevision(), ...endpoints.getHeld() }),
    getRoutes: routes.get,
    listEndpoints: endpoints.list,
    getEndpoint: endpoints.get,
    getEndpointCount: endpoints.getSize,
    getAnnounced: announced.get,
    requestLoad: loadRequests.add,
    requestReplica: ({ existingReplicas, ...request }) => { replicaRequests = [...replicaRequests.slice(-MAX_PENDING_REPLICA_REQUESTS), { kind: 'load.ask', askId: 0, ...request, remainingMs: 0, copyBeyond: existingReplicas, avoid: [] }] },
    getOthersLoad: loads.get,
    ...createUseRecorders(reports, slotUses),
    dropResident: endpoints.dropResident,
    recordFailed: reports.recordFailed,
    setSilent: reports.setSilent,
    setUnreachable: reports.setUnreachable,
    recordLeaving: reports.recordLeaving,
    recordLimit: reports.recordLimit,
    recordBroken: traits.recordBroken,
    recordUnreachable: traits.recordUnreachable,
    recordSound: traits.recordSound,
    findQuarantined: traits.findQuarantined,
    tryTakeUnits: meter.tryTake,
    giveBackUnits: meter.giveBack,
    recordOrigin: origins.record,
    getOrigin: origins.get,
    askOrigin: origins.ask,
    getVersionHistory: origins.getVersionHistory
  }
}
