/** Messages of the replicated log between voters, and the write requests of a voter to its disk. */
import type { HostId, WallMs } from '@catkinferry/core.types'
import type { Command } from './commands.ts'

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly payload: LogPayload
}

export type LogPayload =
  | { readonly kind: 'noop' }
  | { readonly kind: 'membership', readonly membership: Membership }
  /** `proposedAt` is the leader's wall clock, so that all voters apply the commands with the same time. */
  | { readonly kind: 'commands', readonly proposedAt: WallMs, readonly commands: readonly Command[] }

/** The voters, and the learners, which receive entries but don't vote. */
export interface Membership {
  readonly voters: readonly VoterId[]
  readonly learners: readonly VoterId[]
}

/** `incarnation` distinguishes a host whose disk was wiped from the voter that it was before. */
export interface VoterId {
  readonly host: HostId
  readonly incarnation: string
}

export type ConsensusMessage =
  | { readonly kind: 'consensus.preVote', readonly group: string, readonly incarnation: string, readonly term: number, readonly lastIndex: number, readonly lastTerm: number }
  | { readonly kind: 'consensus.preVoteAnswer', readonly group: string, readonly incarnation: string, readonly term: number, readonly granted: boolean }
  | { readonly kind: 'consensus.vote', readonly group: string, readonly incarnation: string, readonly term: number, readonly lastIndex: number, readonly lastTerm: number, readonly transfer: boolean }
  | { readonly kind: 'consensus.voteAnswer', readonly group: string, readonly incarnation: string, readonly term: number, readonly granted: boolean }
  | { readonly kind: 'consensus.append', readonly group: string, readonly incarnation: string, readonly term: number, readonly previousIndex: number, readonly previousTerm: number, readonly entries: readonly LogEntry[], readonly commitIndex: number, readonly readRound: number }
  | { readonly kind: 'consensus.appendAnswer', readonly group: string, readonly incarnation: string, readonly term: number, readonly success: boolean, readonly matchIndex: number, readonly readRound: number }
  | { readonly kind: 'consensus.snapshotChunk', readonly group: string, readonly incarnation: string, readonly term: number, readonly lastIndex: number, readonly lastTerm: number, readonly membership: Membership, readonly offset: number, readonly totalBytes: number, readonly data: Uint8Array }
  | { readonly kind: 'consensus.snapshotAnswer', readonly group: string, readonly incarnation: string, readonly term: number, readonly lastIndex: number, readonly nextOffset: number, readonly done: boolean }
  | { readonly kind: 'consensus.timeoutNow', readonly group: string, readonly incarnation: string, readonly term: number }

/** Write requests of a voter to its disk. Each is synced before it is answered. Requests are executed in order, but a snapshot may be answered after later ones. */
export type DiskRequest =
  | { readonly kind: 'append', readonly writeId: number, readonly entries: readonly LogEntry[] }
  /** Removes the entries from `index` on, then appends `entries`. */
  | { readonly kind: 'replaceFrom', readonly writeId: number, readonly index: number, readonly entries: readonly LogEntry[] }
  | { readonly kind: 'hardState', readonly writeId: number, readonly state: HardState }
  | { readonly kind: 'snapshot', readonly writeId: number, readonly snapshot: Snapshot }

export interface HardState {
  readonly term: number
  readonly votedFor?: HostId
}

export interface Snapshot {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly membership: Membership
  readonly data: Uint8Array
}

/** Write ID of the answers that tell the state of the disk: not `ok` once it has failed, `ok` once it accepts writes again. */
export const DISK_STATE_WRITE_ID = 0

/** An answer to a write, or the state of the disk. While the disk has failed, writes wait; a snapshot that is answered as failed was dropped. */
export type DiskAnswer =
  | { readonly writeId: number, readonly ok: true }
  | { readonly writeId: number, readonly ok: false, readonly reason: string }

/** State that a voter reads from its disk at start. */
export interface StoredState {
  readonly group: string
  readonly incarnation: string
  readonly hardState: HardState
  readonly snapshot?: Snapshot
  readonly entries: readonly LogEntry[]
}
