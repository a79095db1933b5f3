/** The status that a voter reports of itself and of its group, to operators and to the code that replaces lost voters. */
import type { LogMachine, Role } from '@catkinferry/consensus.log-machine'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { Membership } from '@catkinferry/wire.messages'
import type { ReplacementProgress } from './replacement.ts'

export interface VoterStatus {
  readonly host: HostId
  readonly group: string
  readonly incarnation: string
  readonly role: Role
  readonly term: number
  readonly leader?: HostId
  readonly commitIndex: number
  readonly appliedIndex: number
  readonly lastIndex: number
  readonly durableIndex: number
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
  readonly matchIndex: number
  readonly silentMs?: number
  /** Another data folder that answers under this host's name; its answers do not count. */
  readonly foreignIncarnation?: string
}

/** Describes a voter for operators. */
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
    appliedIndex: state.takenIndex,
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
