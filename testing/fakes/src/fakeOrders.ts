/** Adapter slots of the fake engine, and its handlers for the orders load, evict and set role. Fencing tokens are checked or ignored, by option. */
import type { FakeFaults } from './fakeFaults.ts'
import type { FakeStore } from './fakeStore.ts'

export interface FakeSlots {
  readonly resident: Set<string>
  readonly loading: Set<string>
  /** Number of running requests by adapter. */
  readonly running: Map<string, number>
  pool: string
  highestFencing: number
}

export interface FakeOrderOptions {
  readonly slots: FakeSlots
  readonly slotCount: number
  readonly checksFencing: boolean
  readonly store: FakeStore
  readonly faults: FakeFaults
  /** Changes when the engine restarts; a load that started before the restart has no effect after it. */
  readonly getInstance: () => number
}

export interface FakeOrderAnswer {
  readonly status: number
  readonly body: Record<string, unknown>
}

type FakeOrderHandler = (opts: FakeOrderOptions, body: Record<string, unknown>) => Promise<FakeOrderAnswer>

const DONE: FakeOrderAnswer = { status: 200, body: { status: 'ok' } }

function refuse (status: number, reason: string): FakeOrderAnswer {
  return { status, body: { error: { code: reason, message: reason } } }
}

async function loadAdapter (opts: FakeOrderOptions, body: Record<string, unknown>): Promise<FakeOrderAnswer> {
  const { slots, faults } = opts
  const name = String(body.lora_name)
  if (slots.resident.has(name)) return DONE
  if (slots.resident.size + slots.loading.size >= opts.slotCount) return refuse(409, 'no_free_slot')
  const instance = opts.getInstance()
  slots.loading.add(name)
  await opts.store.fetch(faults.slowFactor)
  if (instance !== opts.getInstance()) return refuse(500, 'restarted')
  slots.loading.delete(name)
  if (faults.loadFails) return refuse(500, 'load_failed')
  slots.resident.add(name)
  return DONE
}

/** Evicts the adapter even if it is running: the code under test must pin running adapters, and `evictedWhileRunning` records a violation. */
async function unloadAdapter (opts: FakeOrderOptions, body: Record<string, unknown>): Promise<FakeOrderAnswer> {
  opts.slots.resident.delete(String(body.lora_name))
  return DONE
}

async function setRole (opts: FakeOrderOptions, body: Record<string, unknown>): Promise<FakeOrderAnswer> {
  opts.slots.pool = String(body.pool)
  return DONE
}

/** Order handlers by URL path. */
export const FAKE_ORDER_HANDLERS: Readonly<Record<string, FakeOrderHandler>> = {
  '/v1/load_lora_adapter': loadAdapter,
  '/v1/unload_lora_adapter': unloadAdapter,
  '/v1/role': setRole
}

/** Returns a refusal if the engine checks fencing tokens and this one is outdated; otherwise records the highest one. */
export function checkFakeFencing (opts: FakeOrderOptions, fencing: number): FakeOrderAnswer | undefined {
  const { slots } = opts
  if (opts.checksFencing && fencing < slots.highestFencing) {
    return { status: 409, body: { error: { code: 'old_fencing', highest_fencing: slots.highestFencing } } }
  }
  slots.highestFencing = Math.max(slots.highestFencing, fencing)
  return undefined
}
