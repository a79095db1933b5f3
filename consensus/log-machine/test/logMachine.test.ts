import { describe, it } from 'node:test'
import type { HostId } from '@catkinferry/core.types'
import { expect } from 'earl'
import { Role } from '../src/index.ts'
import { MAX_APPENDS_IN_FLIGHT } from '../src/constants.ts'
import { createGroup } from './group.ts'
import type { Group } from './group.ts'

const HOSTS = ['a', 'b', 'c']
const HOUR_MS = 3_600_000

function electLeader (group: Group): HostId {
  group.runFor(5_000)
  const leader = group.findLeader()
  if (leader === undefined) throw new Error('no leader')
  return leader
}

function listOthers (leader: HostId): [HostId, HostId] {
  return HOSTS.filter(host => host !== leader) as [HostId, HostId]
}

describe('elections', () => {
  it('binds every voter to its data folder with the first entry', () => {
    const group = createGroup({ seed: 1, hosts: HOSTS })
    const leader = electLeader(group)
    expect(group.getMachine(leader).getMembership().voters).toEqual([
      { host: 'a', incarnation: 'a#1' }, { host: 'b', incarnation: 'b#1' }, { host: 'c', incarnation: 'c#1' }
    ])
  })

  it('elects no first leader while an initial voter is missing', () => {
    const group = createGroup({ seed: 1, hosts: HOSTS })
    group.kill('c')
    group.runFor(20_000)
    expect(group.findLeader()).toEqual(undefined)
  })

  it('makes a leader that is cut off step down, and its return after hours does not raise the term', () => {
    const group = createGroup({ seed: 2, hosts: HOSTS })
    const old = electLeader(group)
    group.isolate(old, true)
    group.runFor(3_000)
    expect(group.getMachine(old).getState().role === Role.LEADER).toEqual(false)
    const next = group.findLeader() as HostId
    const { term } = group.getMachine(next).getState()
    expect(group.propose(next, 'x') !== undefined).toEqual(true)
    group.runFor(2 * HOUR_MS)
    group.isolate(old, false)
    group.runFor(5_000)
    expect(group.findLeader()).toEqual(next)
    expect(group.getMachine(next).getState().term).toEqual(term)
    expect(group.getMember(old).applied).toEqual(['x'])
  })

  it('keeps its leader when all voters are paused together', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const group = createGroup({ seed, hosts: HOSTS })
      const leader = electLeader(group)
      const { term } = group.getMachine(leader).getState()
      group.pause(3_000)
      group.runFor(3_000)
      expect({ seed, leader: group.findLeader(), term: group.getMachine(leader).getState().term }).toEqual({ seed, leader, term })
    }
  })

  it('transfers leadership without waiting for an election timeout', () => {
    const group = createGroup({ seed: 3, hosts: HOSTS })
    const old = electLeader(group)
    group.propose(old, 'x')
    expect(group.act(old, (machine, context) => machine.transferLeadership(context))).toEqual(true)
    expect(group.propose(old, 'refused while transferring')).toEqual(undefined)
    group.runFor(100)
    const next = group.findLeader()
    expect(next !== undefined && next !== old).toEqual(true)
  })
})

describe('disk', () => {
  it('acknowledges nothing after a failed sync and reports the failure', () => {
    const group = createGroup({ seed: 4, hosts: HOSTS })
    const leader = electLeader(group)
    const [bad, other] = listOthers(leader)
    group.diskFaults.fail = bad
    group.propose(leader, 'x')
    group.runFor(500)
    expect(group.getMachine(bad).getState().failure).toEqual('sync failed')
    const { matchIndex } = group.getMachine(leader).getState().peers.get(bad) ?? {}
    delete group.diskFaults.fail
    group.kill(other)
    group.propose(leader, 'y')
    group.runFor(500)
    expect(group.getMachine(leader).getState().peers.get(bad)?.matchIndex).toEqual(matchIndex)
    expect(group.getMember(leader).applied).toEqual(['x'])
  })

  it('keeps its leader while all disks are slower than an election timeout', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const group = createGroup({ seed, hosts: HOSTS })
      const leader = electLeader(group)
      const { term } = group.getMachine(leader).getState()
      group.diskFaults.slowMs = 3_000
      for (let count = 0; count < 20; count++) {
        group.propose(leader, `x${count}`)
        group.runFor(200)
      }
      expect({ seed, leader: group.findLeader(), term: group.getMachine(leader).getState().term }).toEqual({ seed, leader, term })
      delete group.diskFaults.slowMs
      group.runFor(6_000)
      expect(group.getMember(leader).applied.length).toEqual(20)
    }
  })

  /** Followers answer heartbeats at once and appends when their disk has synced; only the latter free room for more appends. */
  it('bounds the appends in flight to a follower whose disk is slow', () => {
    let sent = 0
    let most = 0
    const unconfirmed = new Map<string, number[]>()
    const group = createGroup({
      seed: 8,
      hosts: HOSTS,
      onSend: (from, to, message) => {
        if (message.kind === 'consensus.append' && message.entries.length > 0) {
          const ends = [...unconfirmed.get(to) ?? [], message.entries.at(-1)?.index ?? 0]
          unconfirmed.set(to, ends)
          most = Math.max(most, ends.length)
          sent += 1
        }
        if (message.kind === 'consensus.appendAnswer') unconfirmed.set(from, (unconfirmed.get(from) ?? []).filter(end => end > message.matchIndex))
      }
    })
    const leader = electLeader(group)
    group.runFor(1_000)
    group.diskFaults.slowMs = 900
    sent = 0
    for (let count = 0; count < 85; count++) {
      group.propose(leader, `x${count}`)
      group.runFor(10)
    }
    expect([sent > 0, most <= MAX_APPENDS_IN_FLIGHT]).toEqual([true, true])
  })

  it('commits no entry before a majority has synced it', () => {
    const group = createGroup({ seed: 5, hosts: HOSTS })
    const leader = electLeader(group)
    group.diskFaults.slowMs = 600
    group.propose(leader, 'x')
    group.runFor(500)
    expect(group.getMember(leader).applied).toEqual([])
    group.runFor(500)
    expect(group.getMember(leader).applied).toEqual(['x'])
  })

  it('does not count a voter whose disk was wiped', () => {
    const group = createGroup({ seed: 6, hosts: HOSTS })
    const leader = electLeader(group)
    const [wiped, lost] = listOthers(leader)
    group.propose(leader, 'x')
    group.runFor(500)
    group.kill(wiped)
    group.kill(lost)
    group.wipe(wiped)
    group.start(wiped)
    group.runFor(10_000)
    expect(group.findLeader()).toEqual(undefined)
    expect(group.getMember(wiped).applied).toEqual([])
    group.start(lost)
    group.runFor(5_000)
    const next = group.findLeader() as HostId
    expect(next === wiped).toEqual(false)
    expect(group.getMachine(next).getState().peers.get(wiped)?.foreignIncarnation).toEqual(`${wiped}#2`)
  })
})

describe('membership', () => {
  it('refuses to promote a learner that has not caught up, and a second change while one is pending', () => {
    const group = createGroup({ seed: 7, hosts: HOSTS, spares: ['d'] })
    const leader = electLeader(group)
    group.kill('d')
    const step = (kind: 'addLearner' | 'promote' | 'remove', host: HostId) => group.act(leader, (machine, context) => machine.proposeMembership({ kind, host }, context))
    expect(step('addLearner', 'd').ok).toEqual(true)
    const second = step('addLearner', 'e')
    expect(second.ok ? '' : second.failure.message).toEqual("membership step 'addLearner' of host 'e' is refused: another membership change is under way")
    group.runFor(500)
    const early = step('promote', 'd')
    expect(early.ok ? '' : early.failure.message).toEqual("membership step 'promote' of host 'd' is refused: its data folder is not known yet")
    const [first, other] = listOthers(leader)
    group.kill(first)
    group.runFor(950)
    expect(step('remove', other).ok).toEqual(false)
  })

  it('loses nothing when a second voter is lost right after a repair', () => {
    const group = createGroup({ seed: 8, hosts: HOSTS, spares: ['d'] })
    const leader = electLeader(group)
    const [lost, second] = listOthers(leader)
    for (let n = 0; n < 50; n++) group.propose(leader, `before-${n}`)
    group.runFor(500)
    group.compact(leader, 0)
    group.kill(lost)
    group.runFor(1_500)
    const step = (kind: 'addLearner' | 'promote' | 'remove', host: HostId) => {
      const result = group.act(leader, (machine, context) => machine.proposeMembership({ kind, host }, context))
      expect(result.ok).toEqual(true)
      group.runFor(2_000)
    }
    step('addLearner', 'd')
    step('remove', lost)
    step('promote', 'd')
    group.kill(second)
    group.propose(leader, 'after')
    group.runFor(2_000)
    expect(group.getMember('d').applied.length).toEqual(51)
    expect(group.getMember(leader).applied.at(-1)).toEqual('after')
    expect(group.violations).toEqual([])
  })

  it('accepts a wiped host as a new member under its old name', () => {
    const group = createGroup({ seed: 9, hosts: HOSTS })
    const leader = electLeader(group)
    const [wiped] = listOthers(leader)
    group.kill(wiped)
    group.wipe(wiped)
    group.start(wiped)
    group.runFor(2_000)
    for (const kind of ['remove', 'addLearner', 'promote'] as const) {
      expect(group.act(leader, (machine, context) => machine.proposeMembership({ kind, host: wiped }, context)).ok).toEqual(true)
      group.runFor(2_000)
    }
    expect(group.getMachine(leader).getMembership().voters.find(({ host }) => host === wiped)).toEqual({ host: wiped, incarnation: `${wiped}#2` })
  })
})

describe('reads', () => {
  it('fail on a leader that was cut off and replaced', () => {
    const group = createGroup({ seed: 10, hosts: HOSTS })
    const old = electLeader(group)
    group.isolate(old, true)
    const readId = group.act(old, machine => machine.beginRead())
    group.runFor(5_000)
    const { ready, failed } = group.getMachine(old).takeReads()
    expect({ ready, failed }).toEqual({ ready: [], failed: [readId as number] })
  })

  it('are ready after a heartbeat round with the majority', () => {
    const group = createGroup({ seed: 11, hosts: HOSTS })
    const leader = electLeader(group)
    const readId = group.act(leader, machine => machine.beginRead())
    group.runFor(50)
    expect(group.getMachine(leader).takeReads().ready).toEqual([readId as number])
  })
})

describe('snapshots', () => {
  /** Guards against a leader that steps down because a follower says nothing while it saves a snapshot to a slow disk. */
  it('keep the leader while the only other voter saves one to a slow disk', () => {
    const group = createGroup({ seed: 31, hosts: HOSTS })
    const leader = electLeader(group)
    const [first, second] = listOthers(leader)
    group.isolate(first, true)
    for (let count = 0; count < 50; count++) group.propose(leader, `x${count}`)
    group.runFor(500)
    group.compact(leader, 0)
    group.runFor(500)
    const { term } = group.getMachine(leader).getState()
    group.diskFaults.slowMs = 3_000
    group.isolate(first, false)
    group.kill(second)
    group.runFor(6_000)
    expect([group.findLeader(), group.getMachine(leader).getState().term, group.getMember(first).applied.length]).toEqual([leader, term, 50])
  })

  it('bring a follower up to date that lacks compacted entries', () => {
    const group = createGroup({ seed: 12, hosts: HOSTS })
    const leader = electLeader(group)
    const [late] = listOthers(leader)
    group.kill(late)
    for (let n = 0; n < 20_000; n++) group.propose(leader, `change-${String(n).padStart(20, '0')}`)
    group.runFor(500)
    group.compact(leader, 10)
    group.propose(leader, 'last')
    group.runFor(500)
    expect(group.getMachine(leader).getState().snapshot === undefined).toEqual(false)
    group.start(late)
    group.runFor(5_000)
    expect(group.getMember(late).applied.length).toEqual(20_001)
    group.kill(late)
    group.start(late)
    group.runFor(1_000)
    expect(group.getMember(late).applied.at(-1)).toEqual('last')
  })
})
