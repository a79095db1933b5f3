/** State of one host that the parts of the dissemination share. */
import type { Random } from '@catkinferry/core.random'
import { createDueTimes } from '@catkinferry/core.tables'
import type { DueTimes } from '@catkinferry/core.tables'
import type { HostId, HostLocation, MonotonicMs, PeerRow } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { SettingsMessage } from '@catkinferry/wire.messages'
import { encode } from 'cbor-x'
import { CUT_OFF_AFTER_MS, MAX_VOTER_LAG_MS } from './constants.ts'
import { createSettingsInForce } from './inForce.ts'
import type { SettingsInForce, VoterState } from './inForce.ts'
import { createTransfer } from './transfer.ts'
import type { Transfer } from './transfer.ts'

export interface DisseminationOptions {
  readonly self: HostLocation
  /** Hosts of the settings file; this host may be among them. */
  readonly peers: readonly PeerRow[]
  /** On voters only. */
  readonly voterState?: VoterState
  /** On voters only: whether this voter is, or is in contact with, a leader that has a majority. */
  readonly isInContact?: () => boolean
  readonly random: Random
}

/** Scheduled tasks, by name. */
export type Task = 'heartbeat' | 'silence' | 'renew' | 'trial' | 'probe' | 'report' | 'refresh' | 'repair'

/** A host that receives the revisions after `sentRevision`. */
export interface Subscriber {
  sentRevision: number
  leaseUntil: MonotonicMs
  lastSentAt: MonotonicMs
}

export interface SharedState {
  readonly self: HostLocation
  readonly random: Random
  readonly settingsInForce: SettingsInForce
  readonly transfer: Transfer
  readonly dueTasks: DueTimes<Task>
  readonly subscribers: Map<HostId, Subscriber>
  peers: ReadonlyMap<HostId, PeerRow>
  now: MonotonicMs
  startedAt?: MonotonicMs
  ready: boolean
  /** Time of the last contact with a majority, as reported by other hosts. */
  majorityKnownAt?: MonotonicMs
  /** On voters: a revision that another zone has applied and this voter's log lacks, and since when. */
  appliedElsewhere?: { readonly revision: number, readonly since: MonotonicMs }
  /** On voters: the revision of the replicated state. */
  readonly getVoterRevision: () => number | undefined
  /** True on a voter that takes its settings from the log at this time. */
  readonly isSource: () => boolean
}

/** Largest random first epoch. */
const MAX_EPOCH = 2 ** 30

/** Creates the shared state of one host. */
export function createSharedState (opts: DisseminationOptions): SharedState {
  const { self, random, voterState, isInContact = () => false } = opts
  const state: SharedState = {
    self,
    random,
    settingsInForce: createSettingsInForce(voterState, random.nextInt(0, MAX_EPOCH)),
    transfer: createTransfer(),
    dueTasks: createDueTimes(),
    subscribers: new Map(),
    peers: new Map(opts.peers.map(peer => [peer.host, peer])),
    now: 0,
    ready: false,
    getVoterRevision: () => voterState?.getTree().getRevision(),
    isSource: () => voterState !== undefined && !isLagging(state, voterState.getTree().getRevision()) && isInContact()
  }
  return state
}

/** True if the log has lacked a revision that others have applied for too long, for example because of a failed disk. */
function isLagging ({ appliedElsewhere, now }: SharedState, revision: number): boolean {
  return appliedElsewhere !== undefined && appliedElsewhere.revision > revision && now - appliedElsewhere.since > MAX_VOTER_LAG_MS
}

/** On voters: records that another voter's zone has applied a revision. */
export function recordAppliedElsewhere (state: SharedState, revision: number): void {
  const ownRevision = state.getVoterRevision()
  if (ownRevision === undefined || revision <= ownRevision) return
  const { appliedElsewhere, now } = state
  if (appliedElsewhere === undefined || appliedElsewhere.revision <= ownRevision) state.appliedElsewhere = { revision, since: now }
}

/** Time since the last contact with a majority, in ms; undefined if there was none. */
export function getMajorityAge (state: SharedState): number | undefined {
  if (state.isSource()) return 0
  return state.majorityKnownAt === undefined ? undefined : Math.max(0, state.now - state.majorityKnownAt)
}

/** True if the last contact with a majority is too old. */
export function isCutOff (state: SharedState): boolean {
  return (getMajorityAge(state) ?? Infinity) > CUT_OFF_AFTER_MS
}

/** Sends a message and counts its bytes if it goes to another region. */
export function sendSettings (state: SharedState, to: HostId, message: SettingsMessage, context: RunContext): void {
  const peer = state.peers.get(to)
  if (peer !== undefined && peer.region !== state.self.region) {
    const tags = { to: peer.region, kind: message.kind }
    context.emit({ kind: 'metric', type: 'count', name: 'settings.longLinkBytes', value: encode(message).length, tags })
  }
  context.send(to, message)
}
