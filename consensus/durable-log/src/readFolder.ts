/** Reads the snapshot and replays the log segments of a data folder, when the durable log opens it. */
import type { HardState, LogEntry, Snapshot } from '@catkinferry/wire.messages'
import { createDamagedError, decodeValue, readBlocks } from './blocks.ts'
import type { Block } from './blocks.ts'
import type { FileOperations } from './fileOperations.ts'
import { formatSegmentName, listSegmentNames, listSnapshotNames } from './formats.ts'
import type { Identity, SegmentHeader, SegmentRecord, SnapshotHeader } from './formats.ts'
import { checkSameFolder } from './identity.ts'

/** The replayed log and the segments that it was read from. */
export interface ReplayedLog {
  hardState: HardState
  entries: LogEntry[]
  nextIndex: number
  /** The segments, with the highest entry index that each held. */
  readonly segments: { readonly name: string, readonly sequence: number, lastIndex: number }[]
}

/** Reads the newest snapshot; undefined when there is none. */
export async function readSnapshot (fs: FileOperations, folder: string, names: readonly string[], identity: Identity): Promise<Snapshot | undefined> {
  const name = listSnapshotNames(names).at(-1)
  if (name === undefined) return undefined
  const file = `${folder}/${name}`
  const contents = await fs.readFile(file) ?? new Uint8Array()
  const { blocks, tornAt } = readBlocks(file, contents)
  const [first, ...rest] = blocks
  if (tornAt !== undefined || first === undefined) throw createDamagedError(file, tornAt ?? 0, 'the file is truncated')
  const header = decodeValue(file, first) as SnapshotHeader
  checkSameFolder(file, header, identity)
  const data = Buffer.concat(rest.map(({ payload }) => payload))
  if (data.byteLength !== header.bytes) throw createDamagedError(file, contents.byteLength, 'the snapshot length differs from its header')
  const { lastIndex, lastTerm, membership } = header
  return { lastIndex, lastTerm, membership, data }
}

/** Replays all segments in order and truncates a torn block at the end of the last one. */
export async function readSegments (fs: FileOperations, folder: string, names: readonly string[], identity: Identity, snapshot: Snapshot | undefined): Promise<ReplayedLog> {
  const replayed: ReplayedLog = { hardState: { term: 0 }, entries: [], nextIndex: 1, segments: [] }
  const segmentNames = listSegmentNames(names)
  for (const [at, name] of segmentNames.entries()) {
    const file = `${folder}/${name}`
    const { blocks, tornAt } = readBlocks(file, await fs.readFile(file) ?? new Uint8Array())
    const isLast = at === segmentNames.length - 1
    if (tornAt !== undefined && (!isLast || blocks.length === 0)) throw createDamagedError(file, tornAt, 'the file is truncated')
    if (tornAt !== undefined) await fs.truncateFile(file, tornAt)
    replaySegment(replayed, file, name, blocks, identity, snapshot)
  }
  return replayed
}

function replaySegment (replayed: ReplayedLog, file: string, name: string, [first, ...rest]: readonly Block[], identity: Identity, snapshot: Snapshot | undefined): void {
  if (first === undefined) throw createDamagedError(file, 0, 'the file is empty')
  const header = decodeValue(file, first) as SegmentHeader
  checkSameFolder(file, header, identity)
  const previous = replayed.segments.at(-1)
  const isCovered = header.nextIndex <= (snapshot?.lastIndex ?? 0) + 1
  const isGap = previous !== undefined && header.sequence !== previous.sequence + 1
  if (isGap && !isCovered) throw createDamagedError(file, 0, `the preceding segment '${formatSegmentName((previous?.sequence ?? 0) + 1)}' is missing`)
  if (header.nextIndex > replayed.nextIndex && !isCovered) throw createDamagedError(file, 0, `the preceding entries ${replayed.nextIndex} to ${header.nextIndex - 1} are missing`)
  replayed.hardState = header.hardState
  const segment = { name, sequence: header.sequence, lastIndex: 0 }
  replayed.segments.push(segment)
  if (isGap || header.nextIndex > replayed.nextIndex) replayed.entries = []
  truncateEntriesFrom(replayed, header.nextIndex)
  replayed.nextIndex = header.nextIndex
  for (const block of rest) {
    for (const record of decodeValue(file, block) as SegmentRecord[]) {
      replayRecord[record.kind](replayed, record as never, `${file}`, block.offset)
      segment.lastIndex = Math.max(segment.lastIndex, replayed.nextIndex - 1)
    }
  }
}

function truncateEntriesFrom (replayed: ReplayedLog, index: number): void {
  const first = replayed.entries[0]?.index ?? index
  replayed.entries.length = Math.min(replayed.entries.length, Math.max(0, index - first))
  replayed.nextIndex = Math.min(replayed.nextIndex, index)
}

type Replay<Kind extends SegmentRecord['kind']> = (replayed: ReplayedLog, record: Extract<SegmentRecord, { kind: Kind }>, file: string, offset: number) => void

const replayRecord: { readonly [Kind in SegmentRecord['kind']]: Replay<Kind> } = {
  hardState: (replayed, { state }) => { replayed.hardState = state },
  truncate: (replayed, { index }) => truncateEntriesFrom(replayed, index),
  entries: (replayed, { entries }, file, offset) => {
    for (const entry of entries) {
      if (entry.index !== replayed.nextIndex) throw createDamagedError(file, offset, `found entry ${entry.index}, expected entry ${replayed.nextIndex}`)
      replayed.entries.push(entry)
      replayed.nextIndex += 1
    }
  }
}

/** Returns the entries after the snapshot; none when the log lacks the snapshot's last entry or has another term there. */
export function listEntriesAfter (snapshot: Snapshot | undefined, entries: readonly LogEntry[]): readonly LogEntry[] {
  if (snapshot === undefined) return entries
  const { lastIndex, lastTerm } = snapshot
  const first = entries[0]
  if (first === undefined || first.index === lastIndex + 1) return entries
  const at = entries.find(({ index }) => index === lastIndex)
  if (at === undefined || at.term !== lastTerm) return []
  return entries.slice(lastIndex - first.index + 1)
}
