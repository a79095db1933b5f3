/**
 * Collects the adapters that this host begins and ceases to use, for messages to the leader between its regular reports: a slot
 * that nobody uses can serve another adapter at once.
 */
import type { AdapterKey, EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'

/** Minimum interval between two messages, and its increase per entry host, which bounds what the leader receives from all. */
const MIN_INTERVAL_MS = 40
const INTERVAL_PER_HOST_MS = 0.5

export interface SlotUses {
  readonly recordBegun: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly recordEnded: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  /** Records that a granted adapter was not used. */
  readonly recordUnused: (endpoint: EndpointId, adapterKey: AdapterKey) => void
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
}

/** Creates empty counts. `getEntryCount`: number of entry hosts that send such messages. */
export function createSlotUses (getEntryCount: () => number): SlotUses {
  const running = new Map<string, { readonly row: readonly [EndpointId, AdapterKey], count: number }>()
  const begun = new Map<string, readonly [EndpointId, AdapterKey]>()
  const ended = new Map<string, readonly [EndpointId, AdapterKey]>()
  let nextAt = Number.NEGATIVE_INFINITY

  const hasChanges = (): boolean => begun.size + ended.size > 0

  function recordEnded (endpoint: EndpointId, adapterKey: AdapterKey): void {
    const key = `${endpoint}|${adapterKey}`
    const known = running.get(key)
    if (known === undefined) return
    known.count -= 1
    if (known.count > 0) return
    running.delete(key)
    // An adapter whose use began and ended since the last message was never reported as used, but may have been granted.
    begun.delete(key)
    ended.set(key, known.row)
  }

  return {
    recordBegun: (endpoint, adapterKey) => {
      if (adapterKey === '') return
      const key = `${endpoint}|${adapterKey}`
      const known = running.get(key)
      if (known !== undefined) {
        known.count += 1
        return
      }
      const row = [endpoint, adapterKey] as const
      running.set(key, { row, count: 1 })
      ended.delete(key)
      begun.set(key, row)
    },
    recordEnded,
    recordUnused: (endpoint, adapterKey) => {
      const key = `${endpoint}|${adapterKey}`
      if (!running.has(key)) ended.set(key, [endpoint, adapterKey])
    },
    run: (context, leader) => {
      if (!hasChanges() || context.now < nextAt) return
      nextAt = context.now + MIN_INTERVAL_MS + getEntryCount() * INTERVAL_PER_HOST_MS
      if (leader !== undefined) context.send(leader, { kind: 'fleet.slotUse', begun: [...begun.values()], ended: [...ended.values()] })
      begun.clear()
      ended.clear()
    },
    getNextAt: () => hasChanges() ? nextAt : Infinity
  }
}
