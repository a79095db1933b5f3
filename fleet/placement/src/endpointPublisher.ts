/**
 * Publishes endpoints and adapter residency from the leader to the directories of entry hosts: batched changes to all, and a
 * full update to a host whose hello shows that it missed some.
 */
import type { EndpointId, HostId, ListedEndpoint, MonotonicMs, RegionId, RequestLimit, ZoneId } from '@catkinferry/core.types'
import { EndpointKind, formatPlacedKey } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetEndpoint, HeldState, NamedLimit, ResidencyChange } from '@catkinferry/wire.messages'
import { SlotState } from './engineState.ts'
import type { EngineState, Slot } from './engineState.ts'

/** Changes younger than this may still be in transit to a host that reports not having them. */
const DELIVERY_GRACE_MS = 600
/** Minimum interval between two batches of changes, per receiving host, and its upper bound. */
const FLUSH_INTERVAL_PER_HOST_MS = 2
const MAX_FLUSH_INTERVAL_MS = 200

export interface EndpointPublisher {
  readonly enqueueEndpoint: (endpoint: EndpointId) => void
  /** The same, but the next batch is sent without delay. */
  readonly enqueueUrgentEndpoint: (endpoint: EndpointId) => void
  readonly enqueueRemoval: (endpoint: EndpointId) => void
  readonly enqueueResidency: (endpoint: EndpointId, slot: Slot, resident: boolean) => void
  /** Sends the pending changes to all hosts if the interval between batches has passed; the first time in a term, everything. */
  readonly flush: (context: RunContext, hosts: readonly HostId[]) => void
  /** Sends a full update to a host that lacks changes. */
  readonly update: (context: RunContext, host: HostId, held: HeldState) => void
  /** Drops pending changes and restarts the sequence for a new term of this leader. */
  readonly begin: (term: number) => void
  /** When pending changes may be sent. */
  readonly getNextAt: () => MonotonicMs
}

export interface EndpointPublisherOptions {
  readonly engines: ReadonlyMap<EndpointId, EngineState>
  readonly isEngine: (pool: string) => boolean
  readonly isSuspect: (endpoint: EndpointId) => boolean
  /** Whether entry hosts may learn of the endpoint yet. */
  readonly isPublishable: (engine: EngineState, now: MonotonicMs) => boolean
  readonly getRegion: (zone: ZoneId) => RegionId
}

function listResident ({ slots }: EngineState): string[] {
  return [...slots.values()].filter(({ state }) => state === SlotState.RESIDENT).map(({ model, adapter, version }) => formatPlacedKey(model, adapter, version))
}

function formatLimit ({ at, ...named }: RequestLimit, now: MonotonicMs): NamedLimit {
  return { ...named, agoMs: now - at }
}

/** Creates the publisher of one core host. */
export function createEndpointPublisher (opts: EndpointPublisherOptions): EndpointPublisher {
  const rows = new Set<EndpointId>()
  const gone = new Set<EndpointId>()
  /** Endpoints that are not publishable yet. */
  let held = new Set<EndpointId>()
  let residency: ResidencyChange[] = []
  let flushAt = Number.NEGATIVE_INFINITY
  let term = 0
  let sequence = 0
  /** Hosts have nothing of this term yet, and could not apply changes to it. */
  let isFirstFlush = true
  /** Sequence that every host should have received by now, and a later one that replaces it after `DELIVERY_GRACE_MS`. */
  let deliveredCheckpoint = { sequence: 0, at: Number.NEGATIVE_INFINITY }
  let latestCheckpoint = { sequence: 0, at: Number.NEGATIVE_INFINITY }

  function buildRow (engine: EngineState, now: MonotonicMs): FleetEndpoint {
    const { endpoint, pool, zone, address, leaving, bornAt, softwareVersion }: ListedEndpoint = engine.listed
    const kind = opts.isEngine(pool) ? EndpointKind.ENGINE : EndpointKind.SERVICE
    return { endpoint, kind, pool, zone, region: opts.getRegion(zone), address, leaving, bornAt, softwareVersion, suspect: opts.isSuspect(endpoint), ...(engine.limit === undefined ? {} : { limit: formatLimit(engine.limit, now) }), models: [...engine.models], resident: listResident(engine) }
  }

  function listPublishable (now: MonotonicMs): EngineState[] {
    updateHeld(now)
    return [...opts.engines.values()].filter(({ listed }) => !held.has(listed.endpoint))
  }

  /** Moves endpoints that are not publishable yet out of the pending changes, and those that have become so back. Hosts drop the former instance of one that has restarted. */
  function updateHeld (now: MonotonicMs): void {
    if (rows.size + held.size === 0) return
    for (const endpoint of held) rows.add(endpoint)
    const heldBefore = held
    held = new Set()
    for (const endpoint of rows) {
      const engine = opts.engines.get(endpoint)
      if (engine === undefined || opts.isPublishable(engine, now)) continue
      rows.delete(endpoint)
      held.add(endpoint)
      if (!heldBefore.has(endpoint) && !isFirstFlush) gone.add(endpoint)
    }
  }

  function updateCheckpoints (now: MonotonicMs): void {
    if (now - latestCheckpoint.at <= DELIVERY_GRACE_MS) return
    deliveredCheckpoint = latestCheckpoint
    latestCheckpoint = { sequence, at: now }
  }

  return {
    enqueueEndpoint: endpoint => { rows.add(endpoint) },
    enqueueUrgentEndpoint: endpoint => {
      rows.add(endpoint)
      flushAt = Number.NEGATIVE_INFINITY
    },
    enqueueRemoval: endpoint => { gone.add(endpoint) },
    enqueueResidency: (endpoint, { model, adapter, version }, resident) => { residency.push({ endpoint, adapterKey: formatPlacedKey(model, adapter, version), resident }) },
    flush: (context, hosts) => {
      updateCheckpoints(context.now)
      updateHeld(context.now)
      if (rows.size + gone.size + residency.length === 0 || context.now < flushAt || (isFirstFlush && held.size > 0 && listPublishable(context.now).length === 0)) return
      flushAt = context.now + Math.min(MAX_FLUSH_INTERVAL_MS, hosts.length * FLUSH_INTERVAL_PER_HOST_MS)
      sequence += 1
      const changed = isFirstFlush ? listPublishable(context.now) : [...rows].map(endpoint => opts.engines.get(endpoint)).filter(engine => engine !== undefined)
      const message = { kind: 'fleet.endpoints', term, sequence, whole: isFirstFlush, rows: changed.map(engine => buildRow(engine, context.now)), gone: [...gone], residency } as const
      isFirstFlush = false
      for (const host of hosts) context.send(host, message)
      rows.clear()
      gone.clear()
      residency = []
    },
    update: (context, host, held) => {
      if (held.endpointsTerm === term && held.endpointsSequence >= deliveredCheckpoint.sequence) return
      const publishable = listPublishable(context.now)
      if (publishable.length > 0) context.send(host, { kind: 'fleet.endpoints', term, sequence, whole: true, rows: publishable.map(engine => buildRow(engine, context.now)), gone: [], residency: [] })
    },
    getNextAt: () => rows.size + gone.size + residency.length === 0 || (isFirstFlush && held.size > 0) ? Infinity : flushAt,
    begin: next => {
      flushAt = Number.NEGATIVE_INFINITY
      term = next
      sequence = 1
      isFirstFlush = true
      deliveredCheckpoint = { sequence: 1, at: Number.NEGATIVE_INFINITY }
      latestCheckpoint = deliveredCheckpoint
      held.clear()
      rows.clear()
      gone.clear()
      residency = []
    }
  }
}
