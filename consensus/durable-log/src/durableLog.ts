/**
 * Opens the data folder of one voter at startup and writes the voter's log entries, term, vote and snapshots to it.
 * The host process passes it each disk request of its voter; those that wait together are synced as one batch (group
 * commit).
 */
import { randomUUID } from 'node:crypto'
import type { DiskAnswer, DiskRequest, HardState, Snapshot, StoredState } from '@catkinferry/wire.messages'
import { createDamagedError, decodeValue, encodeBlock, encodeValue, readBlocks } from './blocks.ts'
import { createFileOperations } from './fileOperations.ts'
import type { FileOperations } from './fileOperations.ts'
import { FORMAT_VERSION, IDENTITY_FILE, listSegmentNames, listSnapshotNames, LOCK_FILE, TEMPORARY_SUFFIX } from './formats.ts'
import type { Identity } from './formats.ts'
import { checkOwner } from './identity.ts'
import { listEntriesAfter, readSegments, readSnapshot } from './readFolder.ts'
import { createSegmentWriter, writeSegmentHeader } from './segmentWriter.ts'
import type { SegmentWriter } from './segmentWriter.ts'
import { createTermList } from './termList.ts'
import { writeFileAtomically } from './writeFileAtomically.ts'

/** Maximum requests that share one sync. */
const MAX_BATCH_REQUESTS = 1_024

export interface DurableLogOptions {
  readonly folder: string
  readonly host: string
  readonly group: string
  readonly fs?: FileOperations
}

export interface DurableLog {
  /** What the folder held when it was opened. */
  readonly stored: StoredState
  /**
   * Resolves once the request is synced; requests that wait together share one sync. Log and hard-state writes keep
   * their order; a snapshot may be answered after later requests. After one failure all later requests fail.
   */
  readonly execute: (request: DiskRequest) => Promise<DiskAnswer>
  /** Waits for pending requests and releases the folder lock. */
  readonly close: () => Promise<void>
}

/** Opens or creates a data folder. Throws a `CatkinferryError` when it is locked, damaged or belongs to another host. */
export async function openDurableLog (opts: DurableLogOptions): Promise<DurableLog> {
  const fs = opts.fs ?? createFileOperations()
  await fs.makeFolder(opts.folder)
  const release = await fs.takeLock(`${opts.folder}/${LOCK_FILE}`)
  try {
    return await openLocked(opts, fs, release)
  } catch (error) {
    await release().catch(() => undefined)
    throw error
  }
}

async function openLocked (opts: DurableLogOptions, fs: FileOperations, release: () => Promise<void>): Promise<DurableLog> {
  const { folder } = opts
  const identity = await readIdentity(fs, opts) ?? await initializeFolder(fs, opts)
  const names = await fs.listFolder(folder)
  for (const name of names.filter(found => found.endsWith(TEMPORARY_SUFFIX))) await fs.removeFile(`${folder}/${name}`)
  if (listSegmentNames(names).length === 0) throw createDamagedError(`${folder}/${IDENTITY_FILE}`, 0, 'the identity file exists, but the folder has no log segments')
  const snapshot = await readSnapshot(fs, folder, names, identity)
  const replayed = await readSegments(fs, folder, names, identity, snapshot)
  const entries = listEntriesAfter(snapshot, replayed.entries)
  const base = snapshot?.lastIndex ?? 0
  const first = entries[0]?.index ?? base + 1
  if (first !== base + 1) throw createDamagedError(`${folder}/${replayed.segments[0]?.name ?? ''}`, 0, `entries ${base + 1} to ${first - 1} are missing`)
  const { hardState } = replayed
  const terms = createTermList(base, snapshot?.lastTerm ?? 0)
  terms.add(entries)
  const writer = await createSegmentWriter({ fs, folder, identity, hardState, nextIndex: terms.getLastIndex() + 1, segments: replayed.segments, snapshotIndex: base })
  for (const name of listSnapshotNames(names).slice(0, -1)) await fs.removeFile(`${folder}/${name}`)
  const { group, incarnation } = identity
  const stored: StoredState = { group, incarnation, hardState, entries, ...(snapshot === undefined ? {} : { snapshot }) }
  return { stored, ...createQueue({ writer, terms, release }) }
}

async function readIdentity (fs: FileOperations, { folder, host, group }: DurableLogOptions): Promise<Identity | undefined> {
  const file = `${folder}/${IDENTITY_FILE}`
  const contents = await fs.readFile(file)
  if (contents === undefined) return undefined
  const { blocks: [block], tornAt } = readBlocks(file, contents)
  if (block === undefined || tornAt !== undefined) throw createDamagedError(file, tornAt ?? 0, 'the file is truncated')
  return checkOwner(file, decodeValue(file, block), { host, group })
}

/** Initializes a folder. The identity file is written last, so a folder that has one must also have segments. */
async function initializeFolder (fs: FileOperations, { folder, host, group }: DurableLogOptions): Promise<Identity> {
  const names = await fs.listFolder(folder)
  await removeUnfinishedSegment(fs, folder, names)
  const identity: Identity = { format: FORMAT_VERSION, group, host, incarnation: randomUUID() }
  const hardState: HardState = { term: 0 }
  await writeSegmentHeader({ fs, folder, identity, sequence: 1, nextIndex: 1, hardState })
  await writeFileAtomically({ fs, folder, name: IDENTITY_FILE, blocks: [encodeBlock(encodeValue(identity))] })
  return identity
}

/** Removes what an interrupted initialization left behind: at most the first segment, without records. More is damage. */
async function removeUnfinishedSegment (fs: FileOperations, folder: string, names: readonly string[]): Promise<void> {
  const segments = listSegmentNames(names)
  for (const name of segments) {
    const file = `${folder}/${name}`
    const { blocks } = readBlocks(file, await fs.readFile(file) ?? new Uint8Array())
    if (segments.length > 1 || blocks.length > 1) throw createDamagedError(`${folder}/${IDENTITY_FILE}`, 0, 'the file is missing, but the folder holds a log')
    await fs.removeFile(file)
  }
  if (listSnapshotNames(names).length > 0) throw createDamagedError(`${folder}/${IDENTITY_FILE}`, 0, 'the file is missing, but the folder holds a snapshot')
}

interface QueueOptions {
  readonly writer: SegmentWriter
  readonly terms: ReturnType<typeof createTermList>
  readonly release: () => Promise<void>
}

interface PendingRequest {
  readonly request: DiskRequest
  readonly answer: (answer: DiskAnswer) => void
}

function createQueue ({ writer, terms, release }: QueueOptions): Pick<DurableLog, 'execute' | 'close'> {
  let pending: PendingRequest[] = []
  let processing: Promise<void> | undefined
  let failure: string | undefined
  const preparations = new Set<Promise<void>>()

  async function processQueue (): Promise<void> {
    while (pending.length > 0) {
      const taken = takeBatch(pending)
      pending = pending.slice(taken.length)
      if (failure === undefined) await writeBatch(taken.map(({ request }) => request)).catch((error: unknown) => { failure = formatDiskFailure(error) })
      for (const { request: { writeId }, answer } of taken) answer(failure === undefined ? { writeId, ok: true } : { writeId, ok: false, reason: failure })
    }
    processing = undefined
  }

  function enqueue (request: DiskRequest): Promise<DiskAnswer> {
    return new Promise(resolve => {
      pending.push({ request, answer: resolve })
      processing ??= Promise.resolve().then(processQueue)
    })
  }

  /** Writes a snapshot, which is large, to a temporary file while other writes go on; it takes effect in order with them. */
  async function writeSnapshot (request: Extract<DiskRequest, { kind: 'snapshot' }>): Promise<DiskAnswer> {
    if (failure === undefined) {
      const prepared = writer.prepareSnapshot(request.snapshot).catch((error: unknown) => { failure ??= formatDiskFailure(error) })
      preparations.add(prepared)
      await prepared
      preparations.delete(prepared)
    }
    return await enqueue(request)
  }

  async function writeBatch (requests: readonly DiskRequest[]): Promise<void> {
    const [first] = requests
    if (first?.kind === 'snapshot' && first.snapshot.lastIndex <= terms.getBaseIndex()) return
    if (first?.kind === 'snapshot') await writer.finishSnapshot(first.snapshot, recordSnapshot(first.snapshot))
    else await writer.write(requests.flatMap(request => buildRecords(request)), terms.getLastIndex())
  }

  function recordSnapshot (snapshot: Snapshot): { nextIndex: number } {
    terms.compactTo(snapshot.lastIndex, snapshot.lastTerm)
    return { nextIndex: terms.getLastIndex() + 1 }
  }

  function buildRecords (request: DiskRequest): Parameters<SegmentWriter['write']>[0][number][] {
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

  return {
    execute: request => request.kind === 'snapshot' ? writeSnapshot(request) : enqueue(request),
    close: async () => {
      await Promise.all(preparations)
      await processing
      await writer.close().catch(() => undefined)
      await release()
    }
  }
}

/** Returns a single snapshot request, or the requests before the next snapshot. */
function takeBatch (pending: readonly PendingRequest[]): readonly PendingRequest[] {
  if (pending[0]?.request.kind === 'snapshot') return pending.slice(0, 1)
  const at = pending.findIndex(({ request }) => request.kind === 'snapshot')
  return pending.slice(0, Math.min(MAX_BATCH_REQUESTS, at === -1 ? pending.length : at))
}

function formatDiskFailure (error: unknown): string {
  const { code, message } = error as NodeJS.ErrnoException
  if (code === 'ENOSPC' || code === 'EDQUOT') return `the disk is full (${code}): ${message}`
  return `a write or sync failed: ${message}`
}
