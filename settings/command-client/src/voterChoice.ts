/** Chooses the voter to send to: the leader where it is known, else each voter in turn. */
import type { Random } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'

export interface VoterChoice {
  /** A voter, not `last` where there is another; undefined when none is known. */
  readonly choose: (last: HostId | undefined) => HostId | undefined
  readonly setLeader: (leader: HostId | undefined) => void
  /** A voter that answered with an outcome is the leader or can reach it. */
  readonly recordAnswer: (voter: HostId) => void
  /** A voter that did not answer is not tried first again. */
  readonly recordTimeout: (voter: HostId | undefined) => void
}

/** Creates a choice that knows no leader yet and prefers this host where it is a voter. */
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
