/** Tells the hosts of the zone how this owner's endpoints stand, where that changed enough. */
import type { EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from '@catkinferry/wire.messages'

/** Least time between two messages to the same hosts. */
const PUBLISH_INTERVAL_MS = 200
const FILL_STEPS = 8

export interface StatePublisher {
  readonly note: (states: readonly EndpointState[]) => void
  readonly remove: (endpoint: EndpointId) => void
  /** Sends what changed to the hosts, and everything to hosts that are new. */
  readonly run: (hosts: readonly HostId[], context: RunContext) => void
  readonly sendAll: (to: HostId, context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
}

function computeLoadStep (state: EndpointState): string {
  const fill = state.batchLimit === 0 ? 0 : Math.floor(FILL_STEPS * state.running / state.batchLimit)
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

  /** Leaves out what the hosts know. */
  function takeNews (): EndpointState[] {
    const news: EndpointState[] = []
    for (const state of latest.values()) {
      const load = computeLoadStep(state)
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
    if (latest.size === 0 || context.now - lastAt < PUBLISH_INTERVAL_MS) return
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
    getNextAt: () => latest.size > 0 ? lastAt + PUBLISH_INTERVAL_MS : undefined
  }
}
