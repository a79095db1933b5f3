/**
 * Copies the leader's knowledge of the adapter slots of engines to the other core hosts. A host that becomes the leader adds it to
 * the endpoint list, which is behind and does not show adapters that are being loaded.
 */
import type { EndpointId, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage, MirroredSlots } from '@catkinferry/wire.messages'
import { MAX_LIST_LAG_MS, MAX_ORDER_DELAY_MS } from './constants.ts'
import { createSlot, formatSlotKey, getOutcomeUnknownUntil, SlotState } from './engineState.ts'
import type { EngineState } from './engineState.ts'

/** Copies are kept for as long as an order in them may be executed late. */
const COPY_RETENTION_MS = MAX_ORDER_DELAY_MS + 2 * MAX_LIST_LAG_MS

type SlotsMessage = Extract<FleetMessage, { kind: 'fleet.slots' }>

export interface SlotMirror {
  /** Marks an engine whose slots have changed. */
  readonly mark: (endpoint: EndpointId) => void
  /** Sends the slots of the marked engines. */
  readonly flush: (context: RunContext, opts: { readonly term: number, readonly engines: ReadonlyMap<EndpointId, EngineState>, readonly coreHosts: readonly HostId[] }) => void
  readonly receive: (message: SlotsMessage, now: MonotonicMs) => void
  /** Adds to the slots of an engine that a new leader has just added what the former leader knew. */
  readonly restore: (engine: EngineState, now: MonotonicMs) => void
  /** Forgets the marks of a term that has ended. */
  readonly clearMarks: () => void
}

interface Row extends MirroredSlots {
  readonly at: MonotonicMs
  readonly term: number
}

function buildRow ({ listed, slots }: EngineState, now: MonotonicMs): MirroredSlots {
  const { endpoint, bornAt } = listed
  return { endpoint, bornAt, slots: [...slots.values()].map(slot => [slot.model, slot.adapter, slot.version, slot.state === SlotState.RESIDENT, Math.max(0, Math.round(getOutcomeUnknownUntil(slot) - now))] as const) }
}

/** Adds what the former leader knew to the slots of an engine that the list shows; where the two differ, both count as taken. */
function restoreSlots (engine: EngineState, row: Row, now: MonotonicMs): void {
  const isOld = now - row.at > 2 * MAX_LIST_LAG_MS
  // The former leader may have sent its latest orders to the new instance without knowing of the restart.
  const isSameInstance = row.bornAt === engine.listed.bornAt
  for (const [model, adapter, version, wasResident, unknownMs] of row.slots) {
    // An old copy tells nothing that the list does not show, except orders that may still be executed.
    if (isOld && unknownMs <= now - row.at) continue
    const slotKey = formatSlotKey(model, adapter)
    const isResident = wasResident && isSameInstance
    const listed = engine.slots.get(slotKey)
    const slot = listed ?? createSlot({ model, adapter, version, state: isResident ? SlotState.RESIDENT : SlotState.EVICTING, now: row.at })
    const unknownUntil = unknownMs > 0 ? row.at + unknownMs : Number.NEGATIVE_INFINITY
    slot.outcomeUnknownUntil = Math.max(slot.outcomeUnknownUntil, unknownUntil, isResident || listed !== undefined ? Number.NEGATIVE_INFINITY : now + MAX_LIST_LAG_MS)
    engine.slots.set(slotKey, slot)
  }
}

/** Creates a mirror without copies. */
export function createSlotMirror (): SlotMirror {
  const marked = new Set<EndpointId>()
  const rows = new Map<EndpointId, Row>()

  function receive ({ term, rows: received }: SlotsMessage, now: MonotonicMs): void {
    for (const row of received) if ((rows.get(row.endpoint)?.term ?? 0) <= term) rows.set(row.endpoint, { ...row, at: now, term })
    for (const [endpoint, { at }] of rows) if (now - at > COPY_RETENTION_MS) rows.delete(endpoint)
  }

  return {
    mark: endpoint => { marked.add(endpoint) },
    flush: (context, opts) => {
      if (marked.size === 0) return
      const changed = [...marked].map(endpoint => opts.engines.get(endpoint)).filter(engine => engine !== undefined).map(engine => buildRow(engine, context.now))
      marked.clear()
      const message = { kind: 'fleet.slots', term: opts.term, rows: changed } as const
      for (const host of opts.coreHosts) context.send(host, message)
      // This host may lead again before another leader has learnt as much.
      receive(message, context.now)
    },
    receive,
    restore: (engine, now) => {
      const row = rows.get(engine.listed.endpoint)
      if (row !== undefined) restoreSlots(engine, row, now)
    },
    clearMarks: () => marked.clear()
  }
}
