/**
 * Adapter slots of one engine, as the host that owns the endpoint knows them: updated on each of its orders and on each
 * report of the engine, which lags. The owner grants requests and plans loads and evictions by them.
 */
import type { AdapterKey, EndpointReport, MonotonicMs } from '@catkinferry/core.types'

/**
 * `unsettledLoad` and `unsettledEvict`: the response to the order was lost, so the outcome is unknown until a report taken
 * after that. `gone`: evicted, and kept only until a report taken after that.
 */
export type SlotState = 'resident' | 'loading' | 'evicting' | 'unsettledLoad' | 'unsettledEvict' | 'gone'

interface SlotRow {
  readonly state: SlotState
  readonly since: MonotonicMs
}

/** Changes of resident adapters by a report. */
export interface SlotChange {
  readonly gained: readonly AdapterKey[]
  readonly lost: readonly AdapterKey[]
}

export interface Slots {
  readonly getState: (adapterKey: AdapterKey) => SlotState | undefined
  readonly isResident: (adapterKey: AdapterKey) => boolean
  readonly setState: (adapterKey: AdapterKey, state: SlotState, now: MonotonicMs) => void
  readonly listResident: () => AdapterKey[]
  readonly listLoading: () => AdapterKey[]
  /** Counts slots in use, including those of loads and evictions in progress or with an unknown outcome. */
  readonly countUsed: () => number
  readonly getResidentSince: (adapterKey: AdapterKey) => MonotonicMs | undefined
  /** `takenAt`: the earliest time at which the engine can have produced the report. */
  readonly applyReport: (report: EndpointReport, takenAt: MonotonicMs, now: MonotonicMs) => SlotChange
}

type ReportEffect = 'keep' | 'resident' | 'remove'

/** What a report means for a slot whose last change is older than the report, by the state of the slot. */
const REPORT_EFFECTS: Readonly<Record<SlotState, (seen: { readonly resident: boolean, readonly loading: boolean }) => ReportEffect>> = {
  resident: ({ resident }) => resident ? 'keep' : 'remove',
  loading: ({ resident }) => resident ? 'resident' : 'keep',
  evicting: () => 'keep',
  unsettledLoad: ({ resident, loading }) => resident ? 'resident' : loading ? 'keep' : 'remove',
  unsettledEvict: ({ resident }) => resident ? 'resident' : 'remove',
  gone: ({ resident }) => resident ? 'resident' : 'remove'
}

/** Creates an empty table. */
export function createSlots (): Slots {
  const rows = new Map<AdapterKey, SlotRow>()

  function setState (adapterKey: AdapterKey, state: SlotState, now: MonotonicMs): void {
    rows.set(adapterKey, { state, since: now })
  }

  function listByState (...states: readonly SlotState[]): AdapterKey[] {
    const keys: AdapterKey[] = []
    for (const [key, row] of rows) if (states.includes(row.state)) keys.push(key)
    return keys
  }

  function countUsed (): number {
    let used = 0
    for (const row of rows.values()) if (row.state !== 'gone') used++
    return used
  }

  function applyReport (report: EndpointReport, takenAt: MonotonicMs, now: MonotonicMs): SlotChange {
    const resident = new Set(report.resident)
    const loading = new Set(report.loading)
    const gained: AdapterKey[] = []
    const lost: AdapterKey[] = []
    for (const [key, row] of rows) {
      if (row.since >= takenAt) continue
      const effect = REPORT_EFFECTS[row.state]({ resident: resident.has(key), loading: loading.has(key) })
      if (effect === 'resident') {
        setState(key, 'resident', takenAt)
        gained.push(key)
      } else if (effect === 'remove') {
        rows.delete(key)
        if (row.state === 'resident') lost.push(key)
      }
    }
    for (const key of resident) {
      if (rows.has(key)) continue
      setState(key, 'resident', takenAt)
      gained.push(key)
    }
    for (const key of loading) if (!rows.has(key)) setState(key, 'unsettledLoad', now)
    return { gained, lost }
  }

  return {
    getState: key => rows.get(key)?.state,
    isResident: key => rows.get(key)?.state === 'resident',
    setState,
    listResident: () => listByState('resident'),
    listLoading: () => listByState('loading', 'unsettledLoad'),
    countUsed,
    getResidentSince: key => {
      const row = rows.get(key)
      return row?.state === 'resident' ? row.since : undefined
    },
    applyReport,
  }
}
