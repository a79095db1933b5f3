/** Names and formats of the files in a data folder, for reading it at startup and writing to it. */
import type { HostId } from '@catkinferry/core.types'
import type { HardState, LogEntry, Membership } from '@catkinferry/wire.messages'

/** Version of the file formats. */
export const FORMAT_VERSION = 1

/** Size at which a segment is closed and a new one begun. */
export const MAX_SEGMENT_BYTES = 16 * 1024 * 1024

/** Maximum snapshot bytes in one block. */
export const SNAPSHOT_BLOCK_BYTES = 4 * 1024 * 1024

/** Owner of a data folder; repeated in the header of each of its files. */
export interface Identity {
  readonly format: number
  readonly group: string
  readonly host: HostId
  /** Random for each data folder; distinguishes a wiped disk from its former contents. */
  readonly incarnation: string
}

/** First block of a segment. */
export interface SegmentHeader extends Identity {
  readonly kind: 'segment'
  readonly sequence: number
  /** Index of the next entry; entries of earlier segments from this index on are void. */
  readonly nextIndex: number
  readonly hardState: HardState
}

/** First block of a snapshot. */
export interface SnapshotHeader extends Identity {
  readonly kind: 'snapshot'
  readonly lastIndex: number
  readonly lastTerm: number
  readonly membership: Membership
  readonly bytes: number
}

/** Later blocks of a segment each hold a list of these. */
export type SegmentRecord =
  | { readonly kind: 'entries', readonly entries: readonly LogEntry[] }
  /** Entries from this index on are void. */
  | { readonly kind: 'truncate', readonly index: number }
  | { readonly kind: 'hardState', readonly state: HardState }

export const IDENTITY_FILE = 'identity'
export const LOCK_FILE = 'lock'
export const TEMPORARY_SUFFIX = '.tmp'

/** Numbers in file names are padded to this length, so that the names sort in numeric order. */
const NUMBER_DIGITS = 16
const SEGMENT_PATTERN = /^segment-(\d+)$/
const SNAPSHOT_PATTERN = /^snapshot-(\d+)$/

export function formatSegmentName (sequence: number): string {
  return `segment-${String(sequence).padStart(NUMBER_DIGITS, '0')}`
}

export function formatSnapshotName (lastIndex: number): string {
  return `snapshot-${String(lastIndex).padStart(NUMBER_DIGITS, '0')}`
}

export function listSegmentNames (names: readonly string[]): string[] {
  return names.filter(name => SEGMENT_PATTERN.test(name)).sort()
}

export function listSnapshotNames (names: readonly string[]): string[] {
  return names.filter(name => SNAPSHOT_PATTERN.test(name)).sort()
}
