/** Tells the hosts of the zone how this owner's endpoints stand, where that changed enough. */
import type { EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from '@catkinferry/wire.messages'

/** Least time between two messages to the same hosts, and its growth with their number. */
const PUBLISH_INTERVAL_MS = 200
const PUBLISH_INTERVAL_PER_HOST_MS = 25
/** Steps of the fill of a batch that are told to a few and to many hosts. */
const FILL_STEPS = 8
const COARSE_FILL_STEPS = 4
const MANY_HOSTS = 10

export interface StatePublisher {
  readonly note: (states: readonly EndpointState[]) => void
  readonly remove: (endpoint: EndpointId) => void
  /** Sends what changed to the hosts, and everything to hosts that are new. */
  readonly run: (hosts: readonly HostId[], context: RunContext) => void
  readonly sendAll: (to: HostId, context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
}

function computeLoadStep (state: EndpointState, steps: number): string {
  const fill = state.batchLimit === 0 ? 0 : Math.floor(steps * state.running / state.batchLimit)
  const queue = Math.ceil(Math.log2(1 + state.waiting))
  return `${fill}|${queue}|${state.batchLimit}|${state.slots}|${Math.min(state.freeSlots, 2)}`
}

function buildKeys (state: EndpointState): string {
  return `${state.resident?.join(' ') ?? ''}|${state.loading?.join(' ') ?? ''}`
}

/** Creates a publisher that has told nobody anything. */
export function createStatePublisher (opts: { readonly list: () => readonly EndpointState[] }): StatePublisher {
  const latest = new Map<EndpointId, EndpointState>()
  const told = new Map<EndpointId, { readonly load: string, readonly keys: string }>()
  let toldHosts: ReadonlySet<HostId> = new Set()
  let sequence = 0
  let lastAt = -Infinity

  const getDueAt = (): MonotonicMs => lastAt + Math.max(PUBLISH_INTERVAL_MS, PUBLISH_INTERVAL_PER_HOST_MS * toldHosts.size)

  /** Leaves out what the hosts know. */
  function takeNews (): EndpointState[] {
    const news: EndpointState[] = []
    for (const state of latest.values()) {
      const load = computeLoadStep(state, toldHosts.size > MANY_HOSTS ? COARSE_FILL_STEPS : FILL_STEPS)
      const keys = buildKeys(state)
      const before = told.get(state.endpoint)
      if (before !== undefined && before.load === load && before.keys === keys) continue
      told.set(state.endpoint, { load, keys })
      news.push(before?.keys === keys ? { ...state, resident: undefined, loading: undefined } : state)
    }
    latest.clear()
    return news
  }

  function sendAll (to: HostId, context: RunContext): void {
    context.send(to, { kind: 'member.endpoints', sequence, full: true, states: opts.list() })
  }

  function run (hosts: readonly HostId[], context: RunContext): void {
    const added = hosts.filter(host => !toldHosts.has(host))
    if (added.length > 0 || hosts.length !== toldHosts.size) {
      const known = toldHosts
      toldHosts = new Set(hosts)
      for (const host of added) if (!known.has(host)) sendAll(host, context)
    }
    if (latest.size === 0 || context.now < getDueAt()) return
    lastAt = context.now
    const states = takeNews()
    if (states.length === 0) return
    sequence++
    for (const host of toldHosts) context.send(host, { kind: 'member.endpoints', sequence, full: false, states })
  }

  return {
    note: states => { for (const state of states) latest.set(state.endpoint, state) },
    remove: endpoint => {
      latest.delete(endpoint)
      told.delete(endpoint)
    },
    run,
    sendAll,
    getNextAt: () => latest.size > 0 ? getDueAt() : undefined
  }
}
