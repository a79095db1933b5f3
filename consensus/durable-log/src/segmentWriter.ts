/**
 * Writes for the durable log, on each batch of disk requests and each snapshot: appends records to the current segment,
 * begins new segments, and removes those that a snapshot covers.
 */
import type { HardState, Snapshot } from '@catkinferry/wire.messages'
import { encodeBlock, encodeValue } from './blocks.ts'
import type { AppendFile, FileOperations } from './fileOperations.ts'
import { formatSegmentName, formatSnapshotName, MAX_SEGMENT_BYTES, SNAPSHOT_BLOCK_BYTES, TEMPORARY_SUFFIX } from './formats.ts'
import type { Identity, SegmentHeader, SegmentRecord, SnapshotHeader } from './formats.ts'
import { renameTemporaryFile, writeTemporaryFile } from './writeFileAtomically.ts'

export interface SegmentWriter {
  /** Writes records as one block and syncs it. `lastIndex` is the last index of the log after these records. */
  readonly write: (records: readonly SegmentRecord[], lastIndex: number) => Promise<void>
  /** Writes a snapshot to a temporary file; other writes may go on meanwhile. */
  readonly prepareSnapshot: (snapshot: Snapshot) => Promise<void>
  /** Removes the temporary file of a snapshot that could not be written. */
  readonly dropSnapshot: (snapshot: Snapshot) => Promise<void>
  /** Gives a prepared snapshot its final name, then removes the former snapshot and the segments that it covers. */
  readonly finishSnapshot: (snapshot: Snapshot, log: { readonly nextIndex: number }) => Promise<void>
  /** Cuts off what was written to the current segment after its last sync; for use before the folder is opened again. */
  readonly discardUnsynced: () => Promise<void>
  readonly close: () => Promise<void>
}

interface SegmentOptions {
  readonly fs: FileOperations
  readonly folder: string
  readonly identity: Identity
  readonly hardState: HardState
  readonly nextIndex: number
}

export interface SegmentWriterOptions extends SegmentOptions {
  readonly segments: readonly { readonly name: string, readonly sequence: number, readonly lastIndex: number }[]
  readonly snapshotIndex: number
}

/** Creates a segment that holds only its header. */
export async function writeSegmentHeader (opts: SegmentOptions & { readonly sequence: number }): Promise<void> {
  const { file } = await openSegment(opts)
  await file.close()
}

interface OpenSegment {
  readonly file: AppendFile
  readonly syncedBytes: number
}

async function openSegment (opts: SegmentOptions & { readonly sequence: number }): Promise<OpenSegment> {
  const { fs, folder, identity, sequence, nextIndex, hardState } = opts
  const header: SegmentHeader = { ...identity, kind: 'segment', sequence, nextIndex, hardState }
  const block = encodeBlock(encodeValue(header))
  const name = formatSegmentName(sequence)
  const temporary = `${folder}/${name}${TEMPORARY_SUFFIX}`
  const file = await fs.createFile(temporary)
  try {
    await file.write(block)
    await file.sync()
    await fs.rename(temporary, `${folder}/${name}`)
    await fs.syncFolder(folder)
  } catch (error) {
    await file.close().catch(() => undefined)
    throw error
  }
  return { file, syncedBytes: block.byteLength }
}

/** Begins a new segment after those that were read, and removes those that the snapshot covers. */
export async function createSegmentWriter (opts: SegmentWriterOptions): Promise<SegmentWriter> {
  const { fs, folder, identity } = opts
  const closed = [...opts.segments]
  let { hardState } = opts
  let current = { sequence: (closed.at(-1)?.sequence ?? 0) + 1, lastIndex: 0 }
  let { file, syncedBytes } = await openSegment({ ...opts, sequence: current.sequence })

  async function beginSegment (nextIndex: number): Promise<void> {
    const next = await openSegment({ fs, folder, identity, hardState, nextIndex, sequence: current.sequence + 1 })
    const former = file
    closed.push({ name: formatSegmentName(current.sequence), sequence: current.sequence, lastIndex: current.lastIndex })
    current = { sequence: current.sequence + 1, lastIndex: 0 }
    file = next.file
    syncedBytes = next.syncedBytes
    await former.close()
  }

  /** Removes the oldest segments first, so that the remaining ones never have a gap. */
  async function removeCoveredSegments (snapshotIndex: number): Promise<void> {
    while ((closed[0]?.lastIndex ?? Number.POSITIVE_INFINITY) <= snapshotIndex) {
      const segment = closed.shift()
      if (segment !== undefined) await fs.removeFile(`${folder}/${segment.name}`)
    }
  }

  await removeCoveredSegments(opts.snapshotIndex).catch(async (error: unknown) => {
    await file.close().catch(() => undefined)
    throw error
  })
  let snapshotName = opts.snapshotIndex === 0 ? undefined : formatSnapshotName(opts.snapshotIndex)

  return {
    write: async (records, lastIndex) => {
      for (const record of records) {
        if (record.kind === 'hardState') hardState = record.state
        if (record.kind === 'entries') current.lastIndex = Math.max(current.lastIndex, record.entries.at(-1)?.index ?? 0)
      }
      const block = encodeBlock(encodeValue(records))
      await file.write(block)
      await file.sync()
      syncedBytes += block.byteLength
      if (syncedBytes >= MAX_SEGMENT_BYTES) await beginSegment(lastIndex + 1)
    },
    prepareSnapshot: snapshot => writeTemporaryFile({ fs, folder, name: formatSnapshotName(snapshot.lastIndex), blocks: encodeSnapshotBlocks(identity, snapshot) }),
    dropSnapshot: ({ lastIndex }) => fs.removeFile(`${folder}/${formatSnapshotName(lastIndex)}${TEMPORARY_SUFFIX}`),
    finishSnapshot: async (snapshot, { nextIndex }) => {
      const name = formatSnapshotName(snapshot.lastIndex)
      await renameTemporaryFile({ fs, folder, name })
      if (snapshotName !== undefined && snapshotName !== name) await fs.removeFile(`${folder}/${snapshotName}`)
      snapshotName = name
      await beginSegment(nextIndex)
      await removeCoveredSegments(nextIndex === snapshot.lastIndex + 1 ? Number.MAX_SAFE_INTEGER : snapshot.lastIndex)
    },
    discardUnsynced: async () => {
      await file.close().catch(() => undefined)
      await fs.truncateFile(`${folder}/${formatSegmentName(current.sequence)}`, syncedBytes)
    },
    close: () => file.close()
  }
}

function encodeSnapshotBlocks (identity: Identity, { lastIndex, lastTerm, membership, data }: Snapshot): Buffer[] {
  const header: SnapshotHeader = { ...identity, kind: 'snapshot', lastIndex, lastTerm, membership, bytes: data.byteLength }
  const blocks = [encodeBlock(encodeValue(header))]
  for (let offset = 0; offset < data.byteLength; offset += SNAPSHOT_BLOCK_BYTES) {
    blocks.push(encodeBlock(data.subarray(offset, offset + SNAPSHOT_BLOCK_BYTES)))
  }
  return blocks
}
