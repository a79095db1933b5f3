/**
 * Transfers leadership to another voter before the leader is stopped or removed. Begun at the voter's request, continued on
 * each run of the machine and each answer of a follower.
 */
import type { HostId } from '@catkinferry/core.types'
import { CHECK_QUORUM_MS, TRANSFER_TIMEOUT_MS } from './constants.ts'
import { getMembership, Role } from './state.ts'
import type { MachineContext, MachineState } from './state.ts'

/** Chooses the voter with the most entries among those heard from recently. */
function chooseSuccessor (state: MachineState, context: MachineContext): HostId | undefined {
  let chosen: { host: HostId, matchIndex: number } | undefined
  for (const { host } of getMembership(state).voters) {
    const progress = state.peers.get(host)
    if (progress === undefined || context.now - progress.lastHeardAt > CHECK_QUORUM_MS) continue
    if (chosen === undefined || progress.matchIndex > chosen.matchIndex) chosen = { host, matchIndex: progress.matchIndex }
  }
  return chosen?.host
}

/** Begins a transfer; new entries are refused until it completes or times out. Returns false when no voter can take over. */
export function beginTransfer (state: MachineState, context: MachineContext): boolean {
  if (state.role !== Role.LEADER) return false
  if (state.transferTo !== undefined) return true
  state.transferTo = chooseSuccessor(state, context)
  if (state.transferTo === undefined) return false
  state.transferUntil = context.now + TRANSFER_TIMEOUT_MS
  state.replicationDue = true
  continueTransfer(state, context)
  return true
}

/** Tells the successor to start an election once it holds the whole log; abandons the transfer after its time limit. */
export function continueTransfer (state: MachineState, context: MachineContext): void {
  if (state.transferTo === undefined || state.role !== Role.LEADER) return
  const progress = state.peers.get(state.transferTo)
  if (context.now >= state.transferUntil || progress === undefined) {
    state.transferTo = undefined
    return
  }
  if (progress.matchIndex < state.log.getLastIndex()) return
  const { group, incarnation, term } = state
  context.send(state.transferTo, { kind: 'consensus.timeoutNow', group, incarnation, term })
}
