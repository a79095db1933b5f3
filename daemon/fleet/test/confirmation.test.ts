import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { HostId } from '@catkinferry/core.types'
import { CORES, createSimulatedFleet, REVOCATION_MS } from '@catkinferry/testing.fleet'
import type { SimulatedFleet } from '@catkinferry/testing.fleet'

const OUTDATED_LINE = 'the route table was not confirmed in time; requests with keys are not served'

/** A fleet that has run version 1 of the routes for a while, and its leader. */
function createStarted (older: readonly HostId[] = []): { fleet: SimulatedFleet, leader: HostId, followers: readonly HostId[] } {
  const fleet = createSimulatedFleet({ entries: ['e0', 'e1'], older, revocationMs: REVOCATION_MS })
  fleet.runFor(6_000)
  const leader = fleet.findLeader()
  if (leader === undefined) throw new Error('no leader')
  fleet.commit(leader, 1)
  fleet.runFor(3_000)
  return { fleet, leader, followers: CORES.filter(core => core !== leader) }
}

function cutFromOthers (fleet: SimulatedFleet, host: HostId, except: readonly HostId[] = []): void {
  for (const core of CORES) if (core !== host && !except.includes(core)) fleet.cut(host, core)
}

describe('confirmation through real voters', () => {
  /** If confirmations came less often than hellos, a single lost one could make the table too old. */
  it('keeps the age of each host near the interval of hellos', () => {
    const { fleet } = createStarted()
    const greatest = fleet.runAndMeasureAge('e0', 10_000)
    expect([greatest < 650, fleet.getGate('e0').isCurrent(), fleet.getGate('e0').findUnreadyReason()]).toEqual([true, true, undefined])
  })

  /** A host that cannot reach the leader would refuse all requests with keys, though other core hosts know the newest version. */
  it('goes on through followers while the link to the leader is cut', () => {
    const { fleet, leader } = createStarted()
    fleet.cut('e0', leader)
    fleet.sent.length = 0
    const greatest = fleet.runAndMeasureAge('e0', 20_000)
    const confirming = new Set(fleet.sent.filter(({ to, message }) => to === 'e0' && message.kind === 'fleet.confirmed').map(({ from }) => from))
    expect([greatest < REVOCATION_MS - 200, fleet.getGate('e0').isCurrent(), confirming.has(leader), confirming.size > 0]).toEqual([true, true, false, true])
  })

  /** While the leader answers, ids in hellos to all core hosts would multiply the messages by their number. */
  it('asks only the leader while it answers', () => {
    const { fleet, leader } = createStarted()
    fleet.sent.length = 0
    fleet.runFor(5_000)
    const asked = fleet.sent.filter(({ from, message }) => from === 'e0' && message.kind === 'fleet.hello' && message.confirmId !== undefined).map(({ to }) => to)
    expect([new Set(asked), asked.length >= 9 && asked.length <= 11]).toEqual([new Set([leader]), true])
  })

  /** An election takes 1.5 to 2.5 s; if requests with keys were refused meanwhile, each change of leader would be an outage. */
  it('stays current while the leader dies and another one is elected', () => {
    const { fleet, leader } = createStarted()
    fleet.stop(leader)
    const greatest = fleet.runAndMeasureAge('e0', 10_000)
    expect([greatest < REVOCATION_MS - 200, fleet.findLeader() !== leader]).toEqual([true, true])
    fleet.commit(fleet.findLeader()!, 2)
    fleet.runFor(2_000)
    expect([fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent()]).toEqual([2, true])
  })

  /**
   * A leader that was suspended believes that it still leads, while another one has acknowledged a newer version. An answer from
   * its own state, or by a lease on its monotonic clock, would confirm the old version to hosts that reach only it.
   */
  it('gets nothing old confirmed by a former leader that was suspended', () => {
    const { fleet, leader } = createStarted()
    cutFromOthers(fleet, 'e0', [leader])
    fleet.stop(leader)
    fleet.runFor(8_000)
    const next = fleet.findLeader()!
    fleet.commit(next, 2)
    fleet.runFor(1_000)
    expect(fleet.isAcknowledged(2)).toEqual(true)
    cutFromOthers(fleet, leader)
    fleet.resume(leader, 9_000)
    fleet.sent.length = 0
    fleet.runFor(10_000)
    const confirmed = fleet.sent.filter(({ from, message }) => from === leader && message.kind === 'fleet.confirmed')
    expect([confirmed, fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent()]).toEqual([[], 1, false])
    fleet.heal()
    fleet.runFor(3_000)
    expect([fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent()]).toEqual([2, true])
  })

  /** A leader that is cut off from the majority must not confirm either, however long its entry hosts reach it. */
  it('gets nothing confirmed by a leader without a majority', () => {
    const { fleet, leader, followers } = createStarted()
    cutFromOthers(fleet, leader)
    for (const follower of followers) fleet.cut('e0', follower)
    fleet.runFor(7_000)
    fleet.commit(fleet.findLeader()!, 2)
    fleet.runFor(7_000)
    expect([fleet.isAcknowledged(2), fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent(), fleet.getGate('e1').isCurrent()]).toEqual([true, 1, false, true])
  })

  /** Without a newer table, a host that is cut off cannot know of a revoked key. It must say so to the load balancer, too. */
  it('ends 4.8 s after a host was cut off, and begins again soon after the cut', () => {
    const { fleet } = createStarted()
    cutFromOthers(fleet, 'e0')
    fleet.runFor(4_000)
    expect(fleet.getGate('e0').isCurrent()).toEqual(true)
    fleet.runFor(1_000)
    expect([fleet.getGate('e0').isCurrent(), fleet.getGate('e0').findUnreadyReason()]).toEqual([false, 'the route table was not confirmed in time'])
    fleet.runFor(10_000)
    expect(fleet.logs.filter(({ host, message }) => host === 'e0' && message === OUTDATED_LINE).length).toEqual(1)
    fleet.heal()
    fleet.runFor(1_200)
    expect([fleet.getGate('e0').isCurrent(), fleet.getGate('e0').findUnreadyReason()]).toEqual([true, undefined])
    expect(fleet.logs.filter(({ host, message }) => host === 'e0' && message === 'the route table is confirmed').length).toEqual(2)
  })

  for (const [name, suspendedMs] of [['frozen', 0], ['suspended', 30_000]] as const) {
    /** A host that thaws would serve revoked keys until its next hello, or refuse callers for up to half a second. */
    it(`is asked for at once by a host that was ${name}`, () => {
      const { fleet, leader } = createStarted()
      fleet.stop('e0')
      fleet.runFor(15_000)
      fleet.commit(leader, 2)
      fleet.runFor(15_000)
      fleet.resume('e0', suspendedMs)
      expect(fleet.getGate('e0').isCurrent()).toEqual(false)
      fleet.runFor(100)
      expect([fleet.getGate('e0').isCurrent(), fleet.getHeldVersion('e0')]).toEqual([true, 2])
    })
  }

  /** A host that has just started may have been down for hours; it must not take callers by what others tell it first. */
  it('is awaited by a host that has restarted, also if all core hosts restart with it', () => {
    const { fleet } = createStarted()
    for (const host of [...CORES, 'e0']) fleet.stop(host)
    fleet.runFor(1_000)
    for (const host of CORES) fleet.restart(host)
    fleet.restart('e0')
    let acceptedUnconfirmed = false
    fleet.runFor(10_000, () => { acceptedUnconfirmed ||= fleet.getHeldVersion('e0') > 0 && fleet.getGate('e0').findUnreadyReason() === undefined && !fleet.getGate('e0').isCurrent() })
    expect([acceptedUnconfirmed, fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent()]).toEqual([false, 1, true])
  })

  /** Core hosts of an earlier release ignore the ids; a host that took silence for consent would accept revoked keys. */
  it('is never assumed from core hosts of an earlier release', () => {
    const { fleet } = createStarted(CORES)
    fleet.runFor(5_000)
    expect([fleet.getHeldVersion('e0'), fleet.getGate('e0').isCurrent(), fleet.getGate('e0').findUnreadyReason()]).toEqual([1, false, 'no core host has confirmed the route table yet'])
    expect(fleet.logs.filter(({ host, message }) => host === 'e0' && message === OUTDATED_LINE).length).toEqual(1)
  })

  for (const older of CORES) {
    /** An earlier release answers the query of a newer follower without a value, which must not become a version. */
    it(`comes exactly while the leader has this release, with ${older} on the earlier one`, () => {
      const { fleet, leader } = createStarted([older])
      expect(fleet.getGate('e0').isCurrent()).toEqual(leader !== older)
    })
  }
})
