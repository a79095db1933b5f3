import { expect } from 'earl'
import { describe, it } from 'node:test'
import type { HostId } from '@catkinferry/core.types'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { encodeCompact } from '@catkinferry/wire.messages'
import { encodeFrame } from '@catkinferry/wire.frames'
import { createSimulatedFleet, REVOCATION_MS } from '@catkinferry/testing.fleet'
import type { SimulatedFleet } from '@catkinferry/testing.fleet'

const MEASURED_MS = 4_000
const CORE_HOSTS: readonly HostId[] = ['10.1.0.2:7000', '10.2.0.2:7000', '10.3.0.2:7000', '10.4.0.2:7000', '10.5.0.2:7000', '10.6.0.2:7000']

interface Cost {
  readonly messages: number
  readonly bytes: number
}

/** Messages and bytes a second that a host sends and receives. */
function measureCost (sent: SimulatedFleet['sent'], host: HostId): Cost {
  const own = sent.filter(({ from, to }) => from === host || to === host)
  const countBytes = (message: PeerMessage): number => {
    const frame = encodeFrame(encodeCompact(message))
    return frame.ok ? frame.value.byteLength : 0
  }
  const perSecond = 1_000 / MEASURED_MS
  return { messages: own.length * perSecond, bytes: own.reduce((sum, { message }) => sum + countBytes(message), 0) * perSecond }
}

/** Costs of an entry host, the leader and a follower. The entry hosts start one after the other. */
function measureFleet (entryCount: number, revocationMs: number | undefined): Readonly<Record<'entry' | 'leader' | 'follower', Cost>> {
  const entries = Array.from({ length: entryCount }, (_, id) => `10.${1 + id % 6}.${1 + Math.floor(id / 200)}.${id % 200}:7000`)
  const fleet = createSimulatedFleet({ entries, cores: CORE_HOSTS, revocationMs })
  for (const entry of entries) fleet.stop(entry)
  fleet.runFor(3_000)
  const stopped = [...entries]
  const perStep = Math.ceil(entries.length / 100)
  fleet.runFor(500, () => { for (const entry of stopped.splice(0, perStep)) fleet.resume(entry) })
  const leader = fleet.findLeader()!
  fleet.commit(leader, 1)
  fleet.runFor(2_000)
  fleet.sent.length = 0
  fleet.runFor(MEASURED_MS)
  const follower = CORE_HOSTS.find(core => core !== leader)!
  return { entry: measureCost(fleet.sent, entries[0]!), leader: measureCost(fleet.sent, leader), follower: measureCost(fleet.sent, follower) }
}

describe('the cost of confirmations with 85 entry hosts', () => {
  const without = measureFleet(85, undefined)
  const cost = measureFleet(85, REVOCATION_MS)

  /** An entry host may use 9 KB/s for control altogether. */
  it('is 2 messages and at most 150 bytes a second on an entry host', () => {
    expect([cost.entry.messages - without.entry.messages, cost.entry.bytes - without.entry.bytes <= 150]).toEqual([2, true])
  })

  /** One read for each hello would make the followers answer as many rounds of heartbeats as there are hellos. */
  it('is at most 20 reads a second on the core, whatever the number of hellos', () => {
    const answersPerRead = 2 * (CORE_HOSTS.length - 2)
    expect(cost.leader.messages - without.leader.messages <= 2 * 85 + 20 * answersPerRead).toEqual(true)
    expect(cost.follower.messages - without.follower.messages <= 20 * 2).toEqual(true)
  })
})
