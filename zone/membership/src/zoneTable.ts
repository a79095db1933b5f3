/**
 * The zone as one of its hosts sees it: endpoints and their owners from the lease holder's views, endpoint states from the
 * owners' messages. Every host keeps one and chooses endpoints for its requests from it.
 */
import type { AdapterKey, EndpointId, EndpointView, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { EndpointState, MembershipMessage, OwnedEndpoint } from '@catkinferry/wire.messages'

type MemberView = Extract<MembershipMessage, { kind: 'member.view' }>
type MemberEndpoints = Extract<MembershipMessage, { kind: 'member.endpoints' }>

interface KnownState {
  readonly from: HostId
  readonly state: EndpointState
  readonly resident: ReadonlySet<AdapterKey>
  readonly loading: ReadonlySet<AdapterKey>
  readonly at: MonotonicMs
}

export interface ZoneTable {
  /** Returns false when an earlier view was missed, so that the full view is needed. */
  readonly applyView: (view: MemberView) => boolean
  /** Returns false when an earlier message of this owner was missed, so that its full list is needed. */
  readonly applyStates: (from: HostId, message: MemberEndpoints, now: MonotonicMs) => boolean
  readonly getBallot: () => number
  readonly getSequence: () => number
  readonly listHosts: () => readonly HostId[]
  readonly getOwned: (endpoint: EndpointId) => OwnedEndpoint | undefined
  readonly listOwned: () => readonly OwnedEndpoint[]
  readonly getView: (endpoint: EndpointId) => EndpointView | undefined
  readonly listViews: (pool: string) => readonly EndpointView[]
  readonly listPools: () => readonly string[]
}

const NO_KEYS: ReadonlySet<AdapterKey> = new Set()

const NO_STATE: Omit<EndpointState, 'endpoint'> = { running: 0, waiting: 0, batchLimit: 0, slots: 0, freeSlots: 0, expectedLoadMs: 0, expectedRunMs: 0 }

function buildView (owned: OwnedEndpoint, known: KnownState | undefined, getNow: () => MonotonicMs): EndpointView {
  const usable = known !== undefined && known.from === owned.owner ? known : undefined
  const { running, waiting, batchLimit, slots, freeSlots, expectedLoadMs, expectedRunMs } = usable?.state ?? NO_STATE
  const resident = usable?.resident ?? NO_KEYS
  const loading = usable?.loading ?? NO_KEYS
  return {
    ...owned.row,
    owner: owned.owner,
    fencing: owned.fencing,
    isResident: adapterKey => resident.has(adapterKey),
    isLoading: adapterKey => loading.has(adapterKey),
    running,
    waiting,
    batchLimit,
    slots,
    freeSlots,
    expectedLoadMs,
    expectedRunMs,
    get reportAgeMs () { return usable === undefined ? Infinity : getNow() - usable.at }
  }
}

function groupByPool (views: Iterable<EndpointView>): Map<string, EndpointView[]> {
  const pools = new Map<string, EndpointView[]>()
  for (const view of views) {
    const list = pools.get(view.pool) ?? []
    pools.set(view.pool, list)
    list.push(view)
  }
  return pools
}

/** Merges a message's state of one endpoint. `complete` is false when it omits adapter lists that are not known from before. */
function mergeState (old: KnownState | undefined, from: HostId, state: EndpointState, at: MonotonicMs): { readonly merged: KnownState, readonly complete: boolean } {
  const before = old?.from === from ? old : undefined
  const resident = state.resident === undefined ? before?.resident : new Set(state.resident)
  const loading = state.loading === undefined ? before?.loading : new Set(state.loading)
  return { merged: { from, state, resident: resident ?? NO_KEYS, loading: loading ?? NO_KEYS, at }, complete: resident !== undefined && loading !== undefined }
}

/** Creates an empty table. `getNow` returns the time of the current run. */
export function createZoneTable (opts: { readonly getNow: () => MonotonicMs }): ZoneTable {
  const endpoints = new Map<EndpointId, OwnedEndpoint>()
  const states = new Map<EndpointId, KnownState>()
  const sequences = new Map<HostId, number>()
  const views = new Map<EndpointId, EndpointView>()
  let pools: Map<string, EndpointView[]> | undefined
  let ballot = 0
  let sequence = 0
  let hosts: readonly HostId[] = []

  function updateView (endpoint: EndpointId): void {
    const owned = endpoints.get(endpoint)
    if (owned === undefined) views.delete(endpoint)
    else views.set(endpoint, buildView(owned, states.get(endpoint), opts.getNow))
    pools = undefined
  }

  function removeEndpoint (endpoint: EndpointId): void {
    endpoints.delete(endpoint)
    states.delete(endpoint)
    updateView(endpoint)
  }

  function applyView (view: MemberView): boolean {
    if (view.ballot < ballot) return true
    if (view.ballot === ballot && view.sequence <= sequence) return true
    if (!view.full && (view.ballot !== ballot || view.after > sequence)) return false
    if (view.full) {
      const listed = new Set(view.endpoints.map(({ row }) => row.endpoint))
      for (const endpoint of [...endpoints.keys()]) if (!listed.has(endpoint)) removeEndpoint(endpoint)
    }
    ballot = view.ballot
    sequence = view.sequence
    hosts = view.hosts
    for (const owned of view.endpoints) {
      endpoints.set(owned.row.endpoint, owned)
      updateView(owned.row.endpoint)
    }
    for (const endpoint of view.removed) removeEndpoint(endpoint)
    return true
  }

  function applyState (from: HostId, state: EndpointState, now: MonotonicMs): boolean {
    const old = states.get(state.endpoint)
    const owner = endpoints.get(state.endpoint)?.owner
    if (old !== undefined && old.from !== from && old.from === owner) return true
    const { merged, complete } = mergeState(old, from, state, now)
    states.set(state.endpoint, merged)
    updateView(state.endpoint)
    return complete
  }

  function applyStates (from: HostId, message: MemberEndpoints, now: MonotonicMs): boolean {
    const last = sequences.get(from) ?? -1
    if (!message.full && message.sequence <= last) return true
    const complete = message.full || message.sequence === last + 1
    sequences.set(from, message.sequence)
    let known = true
    for (const state of message.states) known = applyState(from, state, now) && known
    return complete && known
  }

  function getPools (): Map<string, EndpointView[]> {
    pools ??= groupByPool(views.values())
    return pools
  }

  return {
    applyView,
    applyStates,
    getBallot: () => ballot,
    getSequence: () => sequence,
    listHosts: () => hosts,
    getOwned: endpoint => endpoints.get(endpoint),
    listOwned: () => [...endpoints.values()],
    getView: endpoint => views.get(endpoint),
    listViews: pool => getPools().get(pool) ?? [],
    listPools: () => [...getPools().keys()]
  }
}
