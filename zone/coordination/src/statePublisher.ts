/**
 * Publishes the states of this owner's endpoints to the hosts of its zone, which choose endpoints by them. Checked on each
 * run of the zone system; sends at a limited rate and only what changed enough.
 */
import type { EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { EndpointState } from '@catkinferry/wire.messages'

/** Minimum time between two messages; the larger of a fixed time and a time per recipient. */
const PUBLISH_INTERVAL_MS = 200
const PUBLISH_INTERVAL_PER_HOST_MS = 25
/** Steps in which the batch fill is published; fewer when there are many recipients, to send less often. */
const FILL_STEPS = 8
const COARSE_FILL_STEPS = 4
const MANY_HOSTS = 10

export interface StatePublisher {
  /** Queues new states for the next message. */
  readonly enqueue: (states: readonly EndpointState[]) => void
  readonly remove: (endpoint: EndpointId) => void
  /** Sends all states to new hosts, and the changes to all hosts when due. */
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

/** Creates a publisher that has sent nothing yet. */
export function createStatePublisher (opts: { readonly list: () => readonly EndpointState[] }): StatePublisher {
  const latest = new Map<EndpointId, EndpointState>()
  const published = new Map<EndpointId, { readonly load: string, readonly keys: string }>()
  let recipients: ReadonlySet<HostId> = new Set()
  let sequence = 0
  let lastAt = -Infinity

  const getDueAt = (): MonotonicMs => lastAt + Math.max(PUBLISH_INTERVAL_MS, PUBLISH_INTERVAL_PER_HOST_MS * recipients.size)

  /** Takes the queued states that differ from what was published; unchanged adapter lists are left out. */
  function takeChanges (): EndpointState[] {
    const changes: EndpointState[] = []
    for (const state of latest.values()) {
      const load = computeLoadStep(state, recipients.size > MANY_HOSTS ? COARSE_FILL_STEPS : FILL_STEPS)
      const keys = buildKeys(state)
      const before = published.get(state.endpoint)
      if (before !== undefined && before.load === load && before.keys === keys) continue
      published.set(state.endpoint, { load, keys })
      changes.push(before?.keys === keys ? { ...state, resident: undefined, loading: undefined } : state)
    }
    latest.clear()
    return changes
  }

  function sendAll (to: HostId, context: RunContext): void {
    context.send(to, { kind: 'member.endpoints', sequence, full: true, states: opts.list() })
  }

  function run (hosts: readonly HostId[], context: RunContext): void {
    const added = hosts.filter(host => !recipients.has(host))
    if (added.length > 0 || hosts.length !== recipients.size) {
      const previous = recipients
      recipients = new Set(hosts)
      for (const host of added) if (!previous.has(host)) sendAll(host, context)
    }
    if (latest.size === 0 || context.now < getDueAt()) return
    lastAt = context.now
    const states = takeChanges()
    if (states.length === 0) return
    sequence++
    for (const host of recipients) context.send(host, { kind: 'member.endpoints', sequence, full: false, states })
  }

  return {
    enqueue: states => { for (const state of states) latest.set(state.endpoint, state) },
    remove: endpoint => {
      latest.delete(endpoint)
      published.delete(endpoint)
    },
    run,
    sendAll,
    getNextAt: () => latest.size > 0 ? getDueAt() : undefined
  }
}
