/**
 * Linearizable reads on the leader: a round of heartbeats answered by a quorum proves that it still leads. The voter
 * begins one for each query that asks for fresh data.
 */
import { computeQuorumValue } from './membership.ts'
import { getMembership, Role } from './state.ts'
import type { MachineState } from './state.ts'

/** Begins a read that sees everything committed so far and returns its id; undefined when this voter is not the leader. */
export function beginRead (state: MachineState): number | undefined {
  if (state.role !== Role.LEADER) return undefined
  if (!state.readRoundDue) state.readRound += 1
  state.readRoundDue = true
  state.replicationDue = true
  const readId = state.nextReadId++
  state.pendingReads.push({ readId, round: state.readRound, index: Math.max(state.commitIndex, state.termStartIndex) })
  finishReads(state)
  return readId
}

/** Marks reads as ready whose round a quorum has echoed and whose index is committed. */
export function finishReads (state: MachineState): void {
  if (state.pendingReads.length === 0) return
  const round = computeQuorumValue(getMembership(state), voter => {
    if (voter.host === state.host) return state.readRound
    return state.peers.get(voter.host)?.readRound ?? 0
  })
  const isReady = (read: { round: number, index: number }): boolean => read.round <= round && read.index <= state.commitIndex
  state.readyReads.push(...state.pendingReads.filter(isReady).map(({ readId }) => readId))
  state.pendingReads = state.pendingReads.filter(read => !isReady(read))
}
