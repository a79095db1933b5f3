/** Chooses the voter that a request is sent to: the leader if it is known, else this host if it is a voter, else a random one. */
import type { Random } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'

export interface VoterChoice {
  /** Returns a voter other than `last` if there is one; undefined if no voter is known. */
  readonly choose: (last: HostId | undefined) => HostId | undefined
  readonly setLeader: (leader: HostId | undefined) => void
  /** A voter that answered is the leader or can reach it, so it is tried first. */
  readonly recordAnswer: (voter: HostId) => void
  /** A voter that did not answer is no longer tried first. */
  readonly recordTimeout: (voter: HostId | undefined) => void
}

/** Creates a choice without a known leader. */
export function createVoterChoice (opts: { host: HostId, voters: () => readonly HostId[], random: Random }): VoterChoice {
  const { host, voters, random } = opts
  let leader: HostId | undefined
  return {
    choose: last => {
      const known = voters()
      if (known.length === 0) return leader
      if (leader !== undefined && leader !== last) return leader
      if (last === undefined) return known.includes(host) ? host : random.pick(known)
      const others = known.filter(voter => voter !== last)
      return others.length === 0 ? last : random.pick(others)
    },
    setLeader: voter => { leader = voter },
    recordAnswer: voter => { leader = voter },
    recordTimeout: voter => {
      if (leader === voter) leader = undefined
    }
  }
}
