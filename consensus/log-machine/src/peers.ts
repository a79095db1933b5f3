/** Creates and removes the leader's replication progress of each peer, when it begins to lead and when the membership changes. */
import type { MonotonicMs } from '@catkinferry/core.types'
import { getMembership } from './state.ts'
import type { MachineState, Progress } from './state.ts'

export function createProgress (state: MachineState, now: MonotonicMs): Progress {
  return {
    matchIndex: 0,
    nextIndex: state.log.getLastIndex() + 1,
    mode: 'probe',
    inFlight: [],
    lastProgressAt: now,
    lastHeardAt: now,
    readRound: 0,
    bindFromRound: state.readRound
  }
}

/** Adds and removes progress records to match the current membership. */
export function updatePeers (state: MachineState, now: MonotonicMs): void {
  const { voters, learners } = getMembership(state)
  const members = new Set([...voters, ...learners].map(({ host }) => host))
  for (const host of state.peers.keys()) {
    if (!members.has(host)) state.peers.delete(host)
  }
  for (const host of members) {
    if (host !== state.host && !state.peers.has(host)) state.peers.set(host, createProgress(state, now))
  }
}
