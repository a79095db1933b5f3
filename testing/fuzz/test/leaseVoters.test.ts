import type { OperatorReply } from '@catkinferry/core.types'
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createWorld } from '../src/world.ts'

const DOWNTIME_MS = 20 * 60_000

function getZoneNode (world: ReturnType<typeof createWorld>, host: string): unknown {
  const replies: OperatorReply[] = []
  world.cluster.sendOperatorRequest({ host, call: { kind: 'settings.get', path: 'fleet/north/zone-a', effective: false, explain: false, fresh: true }, onReply: reply => { replies.push(reply) } })
  world.cluster.runFor(1_000)
  return replies[0]?.ok === true ? replies[0].body : replies[0]
}

describe('lease voters of a zone', () => {
  it('replaces a lease voter in the settings after its host has been down for 20 minutes', () => {
    const zones = SMALL_DEPLOYMENT.zones.map(zone => zone.zone === 'zone-a' ? { ...zone, hosts: 4 } : zone)
    const world = createWorld({ seed: 0, shape: { ...SMALL_DEPLOYMENT, zones, voters: [0, 4, 6] } })
    world.cluster.crash('zone-a-h2')
    world.cluster.delistedHosts.add('zone-a-h2')
    world.cluster.runFor(DOWNTIME_MS)
    const node = getZoneNode(world, 'zone-a-h0') as { values: Record<string, { number: number, hosts: readonly string[] }> }
    expect(node.values['zone.leaseVoters']?.number).toEqual(1)
    expect(node.values['zone.leaseVoters']?.hosts.includes('zone-a-h2')).toEqual(false)
  })
})
