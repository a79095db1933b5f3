/**
 * Queue of the durable log's writes. Requests that wait together are written as one block. After a failed write or sync the
 * folder is opened again and the unanswered requests are written to a new segment.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { CatkinferryError } from '@catkinferry/core.errors'
import { DISK_STATE_WRITE_ID } from '@catkinferry/wire.messages'
import type { DiskAnswer, DiskRequest, Snapshot } from '@catkinferry/wire.messages'
import { encodeValue } from './blocks.ts'
import type { FileOperations } from './fileOperations.ts'
import { TEMPORARY_SUFFIX } from './formats.ts'
import { isDiskFull } from './isDiskFull.ts'
import type { SegmentWriter } from './segmentWriter.ts'
import type { TermList } from './termList.ts'
import { writeTemporaryFile } from './writeFileAtomically.ts'

/** Maximum requests that share one sync. */
const MAX_BATCH_REQUESTS = 1_024
/** Time between two attempts to open the folder again. */
const DEFAULT_RETRY_MS = 500
/** Written before the folder is read again, with the size of what waits, so that a disk that stays full costs little. The smallest block of most file systems. */
const PROBE_FILE = 'probe'
const MIN_PROBE_BYTES = 4_096

export interface OpenedFolder {
  readonly writer: SegmentWriter
  readonly terms: TermList
}

export interface WriteQueueOptions {
  readonly fs: FileOperations
  readonly folder: string
  /** The error if no segment could be begun when the folder was opened. */
  readonly opened: OpenedFolder | unknown
  /** Reads the folder and begins a new segment. */
  readonly reopen: () => Promise<OpenedFolder>
  readonly release: () => Promise<void>
  readonly retryMs?: number
  readonly onBroken?: (error: unknown) => void
}

export interface WriteQueue {
  readonly execute: (request: DiskRequest) => Promise<DiskAnswer>
  readonly watch: (listener: (answer: DiskAnswer) => void) => void
  readonly close: () => Promise<void>
}

interface PendingRequest {
  readonly request: DiskRequest
  readonly answer: (answer: DiskAnswer) => void
}

function isOpened (opened: unknown): opened is OpenedFolder {
  return (opened as Partial<OpenedFolder>).writer !== undefined
}

/** Codes of errors that Node.js raises itself, such as for an invalid argument. */
const RUNTIME_CODE_PREFIX = 'ERR_'

/** Whether the cause is the disk: other errors are faults of the folder or of this program, which waiting does not mend. */
function isPassing (error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException
  return !(error instanceof CatkinferryError) && typeof code === 'string' && !code.startsWith(RUNTIME_CODE_PREFIX)
}

export function formatDiskFailure (error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException
  if (isDiskFull(error)) return `the disk is full (${code}): ${message}`
  return `a write or sync failed: ${message}`
}

interface QueueState {
  readonly opts: WriteQueueOptions
  pending: PendingRequest[]
  processing: Promise<void> | undefined
  current: OpenedFolder | undefined
  /** Why the disk has failed, until a write succeeds. */
  failure: string | undefined
  isReopenDue: boolean
  /** Waiting cannot mend the failure. */
  isBroken: boolean
  readonly closing: AbortController
  readonly preparations: Set<Promise<void>>
  listener: (answer: DiskAnswer) => void
}

function recordFailure (state: QueueState, error: unknown): void {
  state.isReopenDue = true
  if (!isPassing(error)) {
    state.isBroken = true
    state.opts.onBroken?.(error)
  }
  if (state.failure !== undefined) return
  state.failure = `data folder '${state.opts.folder}': ${formatDiskFailure(error)}`
  state.listener({ writeId: DISK_STATE_WRITE_ID, ok: false, reason: state.failure })
}

function recordRecovery (state: QueueState): void {
  if (state.failure === undefined) return
  state.failure = undefined
  state.listener({ writeId: DISK_STATE_WRITE_ID, ok: true })
}

async function probeDisk ({ opts: { fs, folder }, pending }: QueueState): Promise<void> {
  const waiting = takeBatch(pending.filter(({ request }) => request.kind !== 'snapshot')).map(({ request }) => request)
  const bytes = MIN_PROBE_BYTES + encodeValue(waiting).byteLength
  await writeTemporaryFile({ fs, folder, name: PROBE_FILE, blocks: [Buffer.alloc(bytes)] })
  await fs.removeFile(`${folder}/${PROBE_FILE}${TEMPORARY_SUFFIX}`)
}

/**
 * Opens the folder again. What follows the last successful sync is cut off first: the kernel may show it although it is
 * not on the disk.
 */
async function reopenFolder (state: QueueState): Promise<void> {
  const { opts, closing } = state
  await sleep(opts.retryMs ?? DEFAULT_RETRY_MS, undefined, { signal: closing.signal }).catch(() => undefined)
  if (closing.signal.aborted) return
  try {
    await probeDisk(state)
    await state.current?.writer.discardUnsynced()
    // Opening may remove the segment of the former writer, also if it fails later.
    state.current = undefined
    state.current = await opts.reopen()
    state.isReopenDue = false
    dropSnapshots(state, state.current.terms.getBaseIndex())
  } catch (error) {
    recordFailure(state, error)
  }
}

function hasWork ({ pending, failure, isBroken, closing }: QueueState): boolean {
  if (failure === undefined) return pending.length > 0
  return !isBroken && !closing.signal.aborted
}

async function processQueue (state: QueueState): Promise<void> {
  while (hasWork(state)) {
    if (state.isReopenDue) await reopenFolder(state)
    else await writeNext(state)
  }
  if (state.failure !== undefined) failPending(state, state.failure)
  state.processing = undefined
}

function failPending (state: QueueState, reason: string): void {
  for (const { request: { writeId }, answer } of state.pending) answer({ writeId, ok: false, reason })
  state.pending = []
}

/** Writes the next batch; its requests stay pending until it is synced. */
async function writeNext (state: QueueState): Promise<void> {
  const taken = takeBatch(state.pending)
  try {
    if (state.current !== undefined && taken.length > 0) await writeBatch(state.current, taken.map(({ request }) => request))
  } catch (error) {
    recordFailure(state, error)
    return
  }
  state.pending = state.pending.slice(taken.length)
  for (const { request: { writeId }, answer } of taken) answer({ writeId, ok: true })
  recordRecovery(state)
}

/** Drops the snapshots that wait and did not take effect before the failure: their temporary files are gone. */
function dropSnapshots (state: QueueState, baseIndex: number): void {
  const isDropped = ({ request }: PendingRequest): boolean => request.kind === 'snapshot' && request.snapshot.lastIndex > baseIndex
  const dropped = state.pending.filter(isDropped)
  state.pending = state.pending.filter(waiting => !isDropped(waiting))
  for (const { request: { writeId }, answer } of dropped) answer({ writeId, ok: false, reason: state.failure ?? '' })
}

function enqueue (state: QueueState, request: DiskRequest): Promise<DiskAnswer> {
  return new Promise(resolve => {
    state.pending.push({ request, answer: resolve })
    startProcessing(state)
  })
}

function startProcessing (state: QueueState): void {
  state.processing ??= Promise.resolve().then(() => processQueue(state))
}

/** Writes a snapshot, which is large, to a temporary file while other writes go on; it takes effect in order with them. */
async function writeSnapshot (state: QueueState, request: Extract<DiskRequest, { kind: 'snapshot' }>): Promise<DiskAnswer> {
  const { writeId, snapshot } = request
  const { current } = state
  if (current === undefined || state.failure !== undefined) return { writeId, ok: false, reason: state.failure ?? '' }
  let reason: string | undefined
  const preparation = current.writer.prepareSnapshot(snapshot).catch((error: unknown) => { reason = formatDiskFailure(error) })
  state.preparations.add(preparation)
  await preparation
  state.preparations.delete(preparation)
  if (current !== state.current) reason ??= 'the folder was opened again meanwhile'
  reason ??= state.failure
  if (reason === undefined) return await enqueue(state, request)
  await current.writer.dropSnapshot(snapshot).catch(() => undefined)
  return { writeId, ok: false, reason }
}

/** Creates the queue of an opened folder. */
export function createWriteQueue (opts: WriteQueueOptions): WriteQueue {
  const state: QueueState = {
    opts,
    pending: [],
    processing: undefined,
    current: isOpened(opts.opened) ? opts.opened : undefined,
    failure: undefined,
    isReopenDue: false,
    isBroken: false,
    closing: new AbortController(),
    preparations: new Set(),
    listener: () => undefined
  }
  if (state.current === undefined) {
    recordFailure(state, opts.opened)
    startProcessing(state)
  }
  return {
    execute: async request => {
      if (state.isBroken || state.closing.signal.aborted) return { writeId: request.writeId, ok: false, reason: state.failure ?? 'the folder is closed' }
      return request.kind === 'snapshot' ? await writeSnapshot(state, request) : await enqueue(state, request)
    },
    watch: listener => {
      state.listener = listener
      if (state.failure !== undefined) listener({ writeId: DISK_STATE_WRITE_ID, ok: false, reason: state.failure })
    },
    close: async () => {
      state.closing.abort()
      await Promise.all(state.preparations)
      await state.processing
      await state.current?.writer.close().catch(() => undefined)
      await opts.release()
    }
  }
}

/** Returns a single snapshot request, or the requests before the next snapshot. */
function takeBatch (pending: readonly PendingRequest[]): readonly PendingRequest[] {
  if (pending[0]?.request.kind === 'snapshot') return pending.slice(0, 1)
  const at = pending.findIndex(({ request }) => request.kind === 'snapshot')
  return pending.slice(0, Math.min(MAX_BATCH_REQUESTS, at === -1 ? pending.length : at))
}

async function writeBatch ({ writer, terms }: OpenedFolder, requests: readonly DiskRequest[]): Promise<void> {
  const [first] = requests
  if (first?.kind === 'snapshot') {
    if (first.snapshot.lastIndex > terms.getBaseIndex()) await writer.finishSnapshot(first.snapshot, recordSnapshot(terms, first.snapshot))
  } else await writer.write(requests.flatMap(request => buildRecords(terms, request)), terms.getLastIndex())
}

function recordSnapshot (terms: TermList, snapshot: Snapshot): { nextIndex: number } {
  terms.compactTo(snapshot.lastIndex, snapshot.lastTerm)
  return { nextIndex: terms.getLastIndex() + 1 }
}

function buildRecords (terms: TermList, request: DiskRequest): Parameters<SegmentWriter['write']>[0][number][] {
  if (request.kind === 'hardState') return [{ kind: 'hardState', state: request.state }]
  if (request.kind === 'snapshot') throw new Error('snapshots are not written as segment records')
  const { entries } = request
  const index = request.kind === 'replaceFrom' ? request.index : entries[0]?.index ?? terms.getLastIndex() + 1
  const isTruncation = index <= terms.getLastIndex()
  terms.truncateFrom(index)
  if (index !== terms.getLastIndex() + 1) throw new Error(`entry ${index} does not follow entry ${terms.getLastIndex()}`)
  terms.add(entries)
  return isTruncation ? [{ kind: 'truncate', index }, { kind: 'entries', entries }] : [{ kind: 'entries', entries }]
}
