/**
 * Proposes the membership changes that keep the voter set of the replicated log at its target size. Runs in the loop of core
 * hosts at an interval, and acts on the leader only.
 */
import type { Voter, VoterStatus } from '@catkinferry/consensus.voter'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { VoterId } from '@catkinferry/wire.messages'
import { planVoterStep } from './planVoterStep.ts'
import type { MemberStatus } from './planVoterStep.ts'

/** Minimum interval between two membership changes. */
const STEP_INTERVAL_MS = 200

export interface VoterKeeper {
  /** `live`: core hosts heard from recently. */
  readonly run: (context: RunContext, live: readonly HostId[]) => void
  readonly getNextAt: () => MonotonicMs
}

function describeMember (status: VoterStatus, { host }: VoterId): MemberStatus {
  const peer = status.peers.find(known => known.host === host)
  return { host, silentMs: peer?.silentMs ?? 0, isWiped: peer?.foreignIncarnation !== undefined }
}

/** Creates the keeper of a voter's consensus group. */
export function createVoterKeeper (opts: { readonly self: HostId, readonly voter: Voter, readonly targetVoterCount: number }): VoterKeeper {
  const { self, voter, targetVoterCount } = opts
  let nextAt = 0
  return {
    run: (context, live) => {
      if (context.now < nextAt) return
      nextAt = context.now + STEP_INTERVAL_MS
      if (!voter.isLeader()) return
      const status = voter.getStatus(context.now)
      const { voters, learners } = status.membership
      const step = planVoterStep({ self, live, targetVoterCount, voters: voters.map(member => describeMember(status, member)), learners: learners.map(member => describeMember(status, member)) })
      if (step === undefined) return
      const proposed = voter.proposeMembership(step, context)
      if (proposed.ok) context.emit({ kind: 'log', level: 'info', message: 'voter membership change proposed', fields: { step: 'membership', change: step.kind, peer: step.host, voters: voters.map(({ host }) => host), term: status.term } })
    },
    getNextAt: () => nextAt
  }
}
