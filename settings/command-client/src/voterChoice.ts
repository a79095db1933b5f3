/** Chooses the voter that a request is sent to: the leader if it is known, else this host if it is a voter, else a random one. */
import type { Random } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'

export interface VoterChoiceOptions {
  readonly host: HostId
  readonly voters: () => readonly HostId[]
  /** Leader that the voter of this host follows, or is; undefined without a voter, or while it knows none. */
  readonly getOwnLeader?: () => HostId | undefined
}

export interface VoterChoice {
  /** Returns a voter other than `last` if there is one; undefined if no voter is known. */
  readonly choose: (last: HostId | undefined) => HostId | undefined
  readonly setLeader: (leader: HostId | undefined) => void
  /** A voter that answered is the leader or can reach it, so it is tried first. */
  readonly recordAnswer: (voter: HostId) => void
  /** A voter that did not answer is no longer tried first. */
  readonly recordTimeout: (voter: HostId | undefined) => void
  readonly hasNewLeader: () => boolean
  /** Leader of which the voter of this host has learnt since the last call. It is tried first. */
  readonly takeNewLeader: () => HostId | undefined
}

/** Creates a choice without a known leader. */
export function createVoterChoice ({ host, voters, random, getOwnLeader = () => undefined }: VoterChoiceOptions & { readonly random: Random }): VoterChoice {
  let leader: HostId | undefined
  /** What the voter of this host knew at the last call of `takeNewLeader`. */
  let ownLeader: HostId | undefined
  const hasNewLeader = (): boolean => ![undefined, ownLeader].includes(getOwnLeader())
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
    },
    hasNewLeader,
    takeNewLeader: () => {
      const isNew = hasNewLeader()
      ownLeader = getOwnLeader()
      if (!isNew) return undefined
      leader = ownLeader
      return ownLeader
    }
  }
}
