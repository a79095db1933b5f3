import { describe, it } from 'node:test'
import type { HostId } from '@catkinferry/core.types'
import { expect } from 'earl'
import { createGroup } from './group.ts'
import type { Group } from './group.ts'

const SCHEDULES = 60
const STEPS = 60
const HOSTS = ['a', 'b', 'c', 'd', 'e']

/** One random fault or piece of work. */
const actions: readonly ((group: Group, host: HostId, step: number) => void)[] = [
  (group, host) => { group.kill(host) },
  (group, host) => { group.start(host) },
  (group, host) => { group.start(host) },
  (group, host) => { group.isolate(host, true) },
  (group, host) => { group.isolate(host, false) },
  (group, host) => { group.isolate(host, false) },
  (group, host) => { group.compact(host, 3) },
  (group, host) => { loseDisk(group, host) },
  group => { for (const host of HOSTS) group.kill(host) },
  group => { for (const host of HOSTS) group.start(host) },
  (group, host) => { if (group.findLeader() === host) group.act(host, (machine, context) => machine.transferLeadership(context)) },
  (group, _host, step) => proposeSome(group, step),
  (group, _host, step) => proposeSome(group, step),
  (group, _host, step) => proposeSome(group, step)
]

function proposeSome (group: Group, step: number): void {
  for (let n = 0; n < 5; n++) {
    const leader = group.findLeader()
    if (leader !== undefined) group.propose(leader, `${step}-${n}`)
  }
}

/** One voter may come back without its disk; more would be beyond what a group of three survives. */
function loseDisk (group: Group, host: HostId): void {
  if (HOSTS.some(other => group.getMember(other).folders > 1)) return
  group.kill(host)
  group.wipe(host)
  group.start(host)
}

/** What the group had committed must still be there after all faults have healed. */
function runSchedule (seed: number): Group {
  const hosts = HOSTS.slice(0, seed % 2 === 0 ? 3 : 5)
  const group = createGroup({ seed, hosts, spares: HOSTS.slice(hosts.length), dropFraction: 0.05, duplicateFraction: 0.1, maxDelayMs: seed % 3 === 0 ? 400 : 20, diskMs: seed % 5 === 0 ? 200 : 5 })
  group.runFor(3_000)
  for (let step = 0; step < STEPS; step++) {
    group.random.pick(actions)(group, group.random.pick(hosts), step)
    group.runFor(group.random.nextInt(0, 1_500))
  }
  for (const host of hosts) {
    group.isolate(host, false)
    group.start(host)
  }
  group.runFor(20_000)
  return group
}

describe('random schedules of faults', () => {
  it('keep one leader a term, never change what is committed, and end with all voters equal', () => {
    let committed = 0
    for (let seed = 1; seed <= SCHEDULES; seed++) {
      const group = runSchedule(seed)
      expect({ seed, violations: group.violations }).toEqual({ seed, violations: [] })
      const leader = group.findLeader()
      if (leader === undefined) throw new Error(`no leader at seed ${seed}`)
      const { applied } = group.getMember(leader)
      const lists = ['a', 'b', 'c'].map(host => group.getMember(host)).filter(({ folders }) => folders === 1).map(member => member.applied)
      for (const list of lists) expect({ seed, list }).toEqual({ seed, list: applied })
      committed += applied.length
    }
    expect(committed > SCHEDULES).toEqual(true)
  })
})
