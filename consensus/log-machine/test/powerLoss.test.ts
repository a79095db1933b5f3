import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createGroup } from './group.ts'

/** All hosts lose power in the moment in which as many disks are lost as the group tolerates; the other disks keep what they had synced. */
describe('a power loss of all hosts as disks are lost', () => {
  for (const hosts of [['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e']]) {
    const lostCount = (hosts.length - 1) / 2
    // Guards against an acknowledged entry that only the lost disks held, and against a wiped voter that votes under its old identity.
    it(`keeps what was acknowledged, and goes on, with ${lostCount} of ${hosts.length} disks lost`, () => {
      for (let seed = 1; seed <= 40; seed += 1) {
        const group = createGroup({ seed, hosts, dropFraction: 0.02 })
        group.runFor(5_000)
        const leader = group.findLeader() ?? ''
        for (let count = 0; count < 12; count += 1) {
          group.propose(leader, `change-${count}`)
          group.runFor(group.random.nextInt(0, 8))
          if (count === 6 && seed % 2 === 0) group.compact(leader, 1)
        }
        const acknowledged = [...group.getMember(leader).applied]
        const first = seed % hosts.length
        const lost = Array.from({ length: lostCount }, (_, index) => hosts[(first + index) % hosts.length] ?? '')
        for (const host of hosts) group.kill(host)
        for (const host of lost) group.wipe(host)
        for (const host of hosts) {
          group.start(host)
          group.runFor(group.random.nextInt(0, 300))
        }
        group.runFor(10_000)
        const next = group.findLeader() ?? ''
        expect([seed, group.violations, lost.includes(next)]).toEqual([seed, [], false])
        group.propose(next, 'after')
        group.runFor(1_000)
        const { applied } = group.getMember(next)
        expect([seed, acknowledged.filter(change => !applied.includes(change)), applied.at(-1)]).toEqual([seed, [], 'after'])
      }
    })
  }
})
