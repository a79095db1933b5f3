/**
 * Opens the data folder of one voter at startup and writes the voter's log entries, term, vote and snapshots to it.
 * The host process passes it each disk request of its voter; those that wait together are synced as one batch (group
 * commit).
 */
import { randomUUID } from 'node:crypto'
import type { DiskAnswer, DiskRequest, HardState, StoredState } from '@catkinferry/wire.messages'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import { createDamagedError, decodeValue, encodeBlock, encodeValue, readBlocks } from './blocks.ts'
import { createFileOperations } from './fileOperations.ts'
import type { FileOperations } from './fileOperations.ts'
import { FORMAT_VERSION, IDENTITY_FILE, listSegmentNames, listSnapshotNames, LOCK_FILE, TEMPORARY_SUFFIX } from './formats.ts'
import { isDiskFull } from './isDiskFull.ts'
import type { Identity } from './formats.ts'
import { checkOwner } from './identity.ts'
import { listEntriesAfter, readSegments, readSnapshot } from './readFolder.ts'
import { createSegmentWriter, writeSegmentHeader } from './segmentWriter.ts'
import { createTermList } from './termList.ts'
import { createWriteQueue, formatDiskFailure } from './writeQueue.ts'
import type { OpenedFolder } from './writeQueue.ts'
import { writeFileAtomically } from './writeFileAtomically.ts'

export interface DurableLogOptions {
  readonly folder: string
  readonly host: string
  readonly group: string
  readonly fs?: FileOperations
  /** Time between two attempts to open the folder again after a failure. */
  readonly retryMs?: number
  /** Called after a failure that waiting cannot mend, such as a folder that is found to be damaged. All requests fail from then on. */
  readonly onBroken?: (error: unknown) => void
}

export interface DurableLog {
  /** What the folder held when it was opened. */
  readonly stored: StoredState
  /**
   * Resolves once the request is synced; requests that wait together share one sync. Log and hard-state writes keep
   * their order; a snapshot may be answered after later requests. After a failed write or sync, requests wait until the
   * folder has been opened again, and are then written to a new segment. A snapshot that cannot be written is dropped.
   */
  readonly execute: (request: DiskRequest) => Promise<DiskAnswer>
  /** Sets the listener for failures and recoveries of the disk, which have the write ID `DISK_STATE_WRITE_ID`. */
  readonly watch: (listener: (answer: DiskAnswer) => void) => void
  /** Waits for the requests in progress and releases the folder lock. Requests that wait for a failed disk are answered as failed. */
  readonly close: () => Promise<void>
}

/**
 * Opens or creates a data folder. Throws a `CatkinferryError` when it is locked, damaged or belongs to another host, and
 * with `DISK_FAILED` when the disk is too full to lock it or create it. A folder that holds a log needs no further room.
 */
export async function openDurableLog (opts: DurableLogOptions): Promise<DurableLog> {
  const fs = opts.fs ?? createFileOperations()
  try {
    await fs.makeFolder(opts.folder)
    const release = await fs.takeLock(`${opts.folder}/${LOCK_FILE}`)
    return await openLocked(opts, fs, release).catch(async (error: unknown) => {
      await release().catch(() => undefined)
      throw error
    })
  } catch (error) {
    if (!isDiskFull(error)) throw error
    throw new CatkinferryError({
      code: ErrorCode.DISK_FAILED,
      message: `the data folder '${opts.folder}' cannot be opened: ${formatDiskFailure(error)}`,
      step: 'openDataFolder',
      hint: 'Make room on the disk of the data folder.'
    })
  }
}

async function openLocked (opts: DurableLogOptions, fs: FileOperations, release: () => Promise<void>): Promise<DurableLog> {
  const identity = await readIdentity(fs, opts) ?? await initializeFolder(fs, opts)
  const { snapshot, hardState, entries, openWriter } = await readFolder(fs, opts.folder, identity)
  const opened = await openWriter().catch((error: unknown) => {
    if (isDiskFull(error)) return error
    throw error
  })
  const reopen = async (): Promise<OpenedFolder> => await (await readFolder(fs, opts.folder, identity)).openWriter()
  const { group, incarnation } = identity
  const stored: StoredState = { group, incarnation, hardState, entries, ...(snapshot === undefined ? {} : { snapshot }) }
  return { stored, ...createWriteQueue({ ...opts, fs, opened, reopen, release }) }
}

/** Reads the folder; `openWriter` begins a new segment after what was read, and removes what the snapshot covers. */
async function readFolder (fs: FileOperations, folder: string, identity: Identity) {
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

  async function openWriter (): Promise<OpenedFolder> {
    const writer = await createSegmentWriter({ fs, folder, identity, hardState, nextIndex: terms.getLastIndex() + 1, segments: replayed.segments, snapshotIndex: base })
    try {
      for (const name of listSnapshotNames(names).slice(0, -1)) await fs.removeFile(`${folder}/${name}`)
    } catch (error) {
      await writer.close().catch(() => undefined)
      throw error
    }
    return { writer, terms }
  }

  return { snapshot, hardState, entries, openWriter }
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
