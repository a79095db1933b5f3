/**
 * Endpoints of the fleet and the adapters resident on them, as an entry host knows them. Kept up to date from the leader's
 * updates; the relay chooses endpoints from it.
 */
import { isUsableEndpoint } from '@catkinferry/core.types'
import type { AdapterKey, EndpointId, MonotonicMs, RequestLimit } from '@catkinferry/core.types'
import type { FleetEndpoint, FleetMessage, HeldState, NamedLimit, ResidencyChange } from '@catkinferry/wire.messages'

/** An endpoint with the adapters known to be resident on it. */
export interface DirectoryEndpoint extends Omit<FleetEndpoint, 'resident' | 'limit'> {
  /** What it last said of its request limit, by the clock of this host; undefined if the leader knows of nothing. */
  readonly limit?: RequestLimit
  readonly resident: ReadonlySet<AdapterKey>
}

export type EndpointUpdate = Extract<FleetMessage, { kind: 'fleet.endpoints' }>

interface Row extends DirectoryEndpoint {
  readonly resident: Set<AdapterKey>
}

export interface EndpointTable {
  /** Applies an update, without the endpoints that no request can be sent to. False if earlier changes are missing; those of a former leader are ignored. */
  readonly apply: (update: EndpointUpdate, now: MonotonicMs) => boolean
  readonly list: (pool: string) => readonly DirectoryEndpoint[]
  readonly listAll: () => Iterable<DirectoryEndpoint>
  readonly get: (endpoint: EndpointId) => DirectoryEndpoint | undefined
  readonly getHeld: () => Pick<HeldState, 'endpointsTerm' | 'endpointsSequence'>
  readonly getSize: () => number
  /** Adds an adapter that the leader granted at the endpoint. */
  readonly addResident: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Removes an adapter that the endpoint itself reported as missing. */
  readonly dropResident: (endpoint: EndpointId, adapterKey: AdapterKey) => void
}

function readLimit ({ agoMs, ...named }: NamedLimit, now: MonotonicMs): RequestLimit {
  return { ...named, at: now - agoMs }
}

function createRow ({ resident, limit, ...facts }: FleetEndpoint, now: MonotonicMs): Row {
  return { ...facts, resident: new Set(resident), ...(limit === undefined ? {} : { limit: readLimit(limit, now) }) }
}

/** Lists the endpoints of an update that no request can be sent to. Leaders of earlier releases publish those of odd entries of their list. */
export function listUnusable ({ rows }: EndpointUpdate): EndpointId[] {
  return rows.filter(row => !isUsableEndpoint(row)).map(({ endpoint }) => endpoint)
}

/** Creates an empty table. */
export function createEndpointTable (): EndpointTable {
  let rows = new Map<EndpointId, Row>()
  let rowsByPool = new Map<string, Row[]>()
  let term = 0
  let sequence = 0

  function buildPools (): void {
    rowsByPool = new Map()
    for (const row of rows.values()) rowsByPool.set(row.pool, [...rowsByPool.get(row.pool) ?? [], row])
  }

  function applyResidency ({ endpoint, adapterKey, resident }: ResidencyChange): void {
    const row = rows.get(endpoint)
    if (resident) row?.resident.add(adapterKey)
    else row?.resident.delete(adapterKey)
  }

  function apply (update: EndpointUpdate, now: MonotonicMs): boolean {
    if (update.term < term) return true
    const usable = update.rows.filter(isUsableEndpoint)
    if (update.whole) rows = new Map(usable.map(row => [row.endpoint, createRow(row, now)]))
    else if (update.term !== term || update.sequence !== sequence + 1) return false
    term = update.term
    sequence = update.sequence
    if (!update.whole) for (const row of usable) rows.set(row.endpoint, createRow(row, now))
    for (const endpoint of [...update.gone, ...listUnusable(update)]) rows.delete(endpoint)
    if (update.whole || update.rows.length + update.gone.length > 0) buildPools()
    for (const change of update.residency) applyResidency(change)
    return true
  }

  return {
    apply,
    list: pool => rowsByPool.get(pool) ?? [],
    listAll: () => rows.values(),
    get: endpoint => rows.get(endpoint),
    getHeld: () => ({ endpointsTerm: term, endpointsSequence: sequence }),
    getSize: () => rows.size,
    addResident: (endpoint, adapterKey) => { rows.get(endpoint)?.resident.add(adapterKey) },
    dropResident: (endpoint, adapterKey) => { rows.get(endpoint)?.resident.delete(adapterKey) }
  }
}
