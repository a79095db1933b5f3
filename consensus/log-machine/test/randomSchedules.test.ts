import { describe, it } from 'node:test'
import type { HostId } from '@catkinferry/core.types'
import { expect } from 'earl'
import { Role } from '../src/index.ts'
import { createGroup } from './group.ts'
import type { Group } from './group.ts'

const SCHEDULES = 150
const ROUNDS = 25
const HOSTS = ['a', 'b', 'c', 'd', 'e']

/** Faults, one of which is chosen at random in each round. */
const faults: readonly ((group: Group, host: HostId, hosts: readonly HostId[]) => void)[] = [
  (group, host) => { group.kill(host) },
  (group, host) => { group.isolate(host, true) },
  (group, host) => {
    group.kill(host)
    group.start(host)
  },
  (group, _host, hosts) => {
    for (const host of hosts) group.kill(host)
    for (const host of hosts) group.start(host)
  },
  (group, _host, hosts) => {
    group.diskFaults.slowMs = 400
    proposeSome(group, hosts, `slow-${group.getNow()}`)
    group.runFor(60)
    for (const host of hosts) group.kill(host)
    delete group.diskFaults.slowMs
    for (const host of hosts) group.start(host)
  },
  group => { group.isolate(group.findLeader() ?? 'a', true) },
  group => { group.kill(group.findLeader() ?? 'a') },
  (group, host) => { group.compact(host, 3) },
  group => {
    const leader = group.findLeader()
    if (leader !== undefined) group.act(leader, (machine, context) => machine.transferLeadership(context))
  },
  (group, host) => { if (group.random.nextInt(0, 9) === 0) loseDisk(group, host) }
]

/** Proposes on every voter that believes it is the leader. */
function proposeSome (group: Group, hosts: readonly HostId[], name: string): void {
  for (const host of hosts) {
    if (group.getMember(host).machine?.getState().role === Role.LEADER) group.propose(host, `${name}-${host}`)
  }
}

function healAll (group: Group, hosts: readonly HostId[]): void {
  for (const host of hosts) {
    group.isolate(host, false)
    group.start(host)
  }
}

/** Wipes the disk of a voter, but of one per schedule only: a group of three does not survive more. */
function loseDisk (group: Group, host: HostId): void {
  if (HOSTS.some(other => group.getMember(other).folderCount > 1)) return
  group.kill(host)
  group.wipe(host)
  group.start(host)
}

/** Runs rounds of proposals and random faults, then heals all faults and lets the group settle. */
function runSchedule (seed: number): Group {
  const hosts = HOSTS.slice(0, seed % 2 === 0 ? 3 : 5)
  const group = createGroup({ seed, hosts, spares: HOSTS.slice(hosts.length), dropFraction: 0.03, duplicateFraction: 0.1, maxDelayMs: seed % 3 === 0 ? 300 : 20, diskMs: seed % 5 === 0 ? 150 : 8 })
  group.runFor(5_000)
  for (let round = 0; round < ROUNDS; round++) {
    proposeSome(group, hosts, `${round}`)
    group.runFor(group.random.nextInt(0, 40))
    proposeSome(group, hosts, `${round}-more`)
    group.random.pick(faults)(group, group.random.pick(hosts), hosts)
    proposeSome(group, hosts, `${round}-late`)
    group.runFor(group.random.nextInt(0, 2_500))
    if (group.random.nextInt(0, 2) === 0) healAll(group, hosts)
  }
  healAll(group, hosts)
  group.runFor(20_000)
  return group
}

describe('random schedules of faults', () => {
  it('never elect two leaders in a term or change a committed entry, and end with equal voters', () => {
    let committed = 0
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const group = runSchedule(seed)
      expect({ seed, violations: group.violations }).toEqual({ seed, violations: [] })
      const leader = group.findLeader()
      if (leader === undefined) throw new Error(`no leader at seed ${seed}`)
      const { applied } = group.getMember(leader)
      const lists = ['a', 'b', 'c'].map(host => group.getMember(host)).filter(({ folderCount }) => folderCount === 1).map(member => member.applied)
      for (const list of lists) expect({ seed, list }).toEqual({ seed, list: applied })
      committed += applied.length
    }
    expect(committed > 10 * SCHEDULES).toEqual(true)
  })
})
