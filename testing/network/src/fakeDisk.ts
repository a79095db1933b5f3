/** Simulated disk of a voter: synced writes survive a crash, writes in flight are lost. */
import type { DiskAnswer, DiskRequest, HardState, LogEntry, Snapshot, StoredState } from '@catkinferry/wire.messages'
import { DISK_STATE_WRITE_ID } from '@catkinferry/wire.messages'
import type { Scheduler } from './scheduler.ts'

export interface FakeDisk {
  readonly execute: (request: DiskRequest, answer: (answer: DiskAnswer) => void) => void
  readonly read: () => StoredState
  /** Drops all requests that are not yet synced. */
  readonly crash: () => void
  readonly wipe: () => void
  readonly isWiped: () => boolean
  readonly setFailing: (failing: boolean) => void
  /** Sets the duration of a sync. */
  readonly setSyncMs: (ms: number) => void
  readonly restoreSpeed: () => void
}

const DEFAULT_SYNC_MS = 2

/** Creates an empty disk. */
export function createFakeDisk (opts: { scheduler: Scheduler, group: string, host: string }): FakeDisk {
  let wipes = 0
  let epoch = 0
  let failing = false
  /** Writes that wait since the disk has failed. */
  let held: { request: DiskRequest, answer: (answer: DiskAnswer) => void }[] = []
  let syncMs = DEFAULT_SYNC_MS
  let lastDoneAt = 0
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

  function write (request: DiskRequest, answer: (answer: DiskAnswer) => void): void {
    handlers[request.kind](request as never)
    answer({ writeId: request.writeId, ok: true })
  }

  function hold (request: DiskRequest, answer: (answer: DiskAnswer) => void): void {
    const reason = 'sync failed'
    if (request.kind === 'snapshot') {
      answer({ writeId: request.writeId, ok: false, reason })
      return
    }
    held.push({ request, answer })
    if (held.length === 1) answer({ writeId: DISK_STATE_WRITE_ID, ok: false, reason })
  }

  function setFailing (value: boolean): void {
    failing = value
    if (failing) return
    const waiting = held
    held = []
    for (const { request, answer } of waiting) write(request, answer)
    waiting[0]?.answer({ writeId: DISK_STATE_WRITE_ID, ok: true })
  }

  return {
    execute: (request, answer) => {
      const startEpoch = epoch
      // Keeps requests in order when the duration of a sync becomes shorter.
      lastDoneAt = Math.max(lastDoneAt, opts.scheduler.getNow() + syncMs)
      opts.scheduler.add(lastDoneAt - opts.scheduler.getNow(), () => {
        if (startEpoch !== epoch) return
        if (failing) hold(request, answer)
        else write(request, answer)
      })
    },
    read: () => ({ group: opts.group, incarnation: `${opts.host}-disk-${wipes}`, hardState, snapshot, entries: [...entries] }),
    crash: () => {
      epoch++
      held = []
      lastDoneAt = 0
    },
    wipe: () => {
      epoch++
      held = []
      wipes++
      hardState = { term: 0 }
      snapshot = undefined
      entries = []
    },
    isWiped: () => wipes > 0,
    setFailing,
    setSyncMs: ms => { syncMs = ms },
    restoreSpeed: () => { syncMs = DEFAULT_SYNC_MS }
  }
}
