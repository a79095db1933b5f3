/**
 * The status that a voter reports of itself and of its group. Built each time that it is asked for: by operators'
 * queries, by the code that replaces lost voters, and by a host that checks its own voter.
 */
import type { LogMachine, Role } from '@catkinferry/consensus.log-machine'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { Membership } from '@catkinferry/wire.messages'
import type { ReplacementProgress } from './replacement.ts'

export interface VoterStatus {
  readonly host: HostId
  readonly group: string
  /** Random id of the voter's data folder, created with the folder. */
  readonly incarnation: string
  readonly role: Role
  readonly term: number
  readonly leader?: HostId
  readonly commitIndex: number
  /** Last entry handed to the state machine. */
  readonly appliedIndex: number
  readonly lastIndex: number
  /** Last entry synced to this voter's disk. */
  readonly durableIndex: number
  /** Last entry that the latest snapshot covers; 0 when there is no snapshot. */
  readonly snapshotIndex: number
  readonly pendingCommands: number
  readonly membership: Membership
  /** Known to the leader only. */
  readonly peers: readonly PeerStatus[]
  readonly replacement?: ReplacementProgress
  /** Why the disk failed, if it did. */
  readonly failure?: string
}

export interface PeerStatus {
  readonly host: HostId
  /** Last entry that the peer is known to hold durably. */
  readonly matchIndex: number
  /**
   * Time since the peer last answered, or since the leader began to track it; absent when the status was requested without
   * the current time.
   */
  readonly silentMs?: number
  /** Incarnation of another data folder that answers under the peer's name; its answers do not count. */
  readonly foreignIncarnation?: string
}

/** Builds the status of a voter. */
export function describeVoter (opts: { readonly machine: LogMachine, readonly now?: MonotonicMs, readonly pendingCommands: number, readonly replacement?: ReplacementProgress }): VoterStatus {
  const { machine, now, pendingCommands, replacement } = opts
  const state = machine.getState()
  const peers = [...state.peers].map(([host, { matchIndex, lastHeardAt, foreignIncarnation }]): PeerStatus => ({
    host,
    matchIndex,
    ...(now === undefined ? {} : { silentMs: now - lastHeardAt }),
    ...(foreignIncarnation === undefined ? {} : { foreignIncarnation })
  }))
  return {
    host: state.host,
    group: state.group,
    incarnation: state.incarnation,
    role: state.role,
    term: state.term,
    ...(state.leader === undefined ? {} : { leader: state.leader }),
    commitIndex: state.commitIndex,
    appliedIndex: state.deliveredIndex,
    lastIndex: state.log.getLastIndex(),
    durableIndex: state.durableIndex,
    snapshotIndex: state.snapshot?.lastIndex ?? 0,
    pendingCommands,
    membership: machine.getMembership(),
    peers,
    ...(replacement === undefined ? {} : { replacement }),
    ...(state.failure === undefined ? {} : { failure: state.failure })
  }
}
