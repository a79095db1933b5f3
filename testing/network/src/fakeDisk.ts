/** A disk in memory: what is synced survives a crash, what is under way does not. */
import type { DiskAnswer, DiskRequest, HardState, LogEntry, Snapshot, StoredState } from '@catkinferry/wire.messages'
import type { Scheduler } from './scheduler.ts'

export interface FakeDisk {
  readonly carryOut: (request: DiskRequest, answer: (answer: DiskAnswer) => void) => void
  readonly read: () => StoredState
  /** Requests not yet synced are lost. */
  readonly crash: () => void
  readonly wipe: () => void
  readonly setFailing: (failing: boolean) => void
}

const SYNC_MS = 2

/** Creates an empty disk. */
export function createFakeDisk (opts: { scheduler: Scheduler, group: string, host: string }): FakeDisk {
  let wipes = 0
  let epoch = 0
  let failing = false
  let hardState: HardState = { term: 0 }
  let snapshot: Snapshot | undefined
  let entries: LogEntry[] = []

  const handlers: { readonly [Kind in DiskRequest['kind']]: (request: Extract<DiskRequest, { kind: Kind }>) => void } = {
    append: request => { entries.push(...request.entries) },
    replaceFrom: request => {
      entries = entries.filter(entry => entry.index < request.index)
      entries.push(...request.entries)
    },
    hardState: request => { hardState = request.state },
    snapshot: request => {
      snapshot = request.snapshot
      entries = entries.filter(entry => entry.index > request.snapshot.lastIndex)
    }
  }

  return {
    carryOut: (request, answer) => {
      const begun = epoch
      opts.scheduler.add(SYNC_MS, () => {
        if (begun !== epoch) return
        if (failing) {
          answer({ writeId: request.writeId, ok: false, reason: 'sync failed' })
          return
        }
        handlers[request.kind](request as never)
        answer({ writeId: request.writeId, ok: true })
      })
    },
    read: () => ({ group: opts.group, incarnation: `${opts.host}-disk-${wipes}`, hardState, snapshot, entries: [...entries] }),
    crash: () => { epoch++ },
    wipe: () => {
      epoch++
      wipes++
      hardState = { term: 0 }
      snapshot = undefined
      entries = []
    },
    setFailing: value => { failing = value }
  }
}
