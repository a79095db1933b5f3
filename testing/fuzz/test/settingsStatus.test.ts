import type { OperatorReply } from '@catkinferry/core.types'
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createWorld, formatAdapterPath, submitWorldChange } from '../src/world.ts'

const CHANGES = 5

describe('settings status', () => {
  it('reports the current revision for every host when all voters are in one zone', () => {
    const world = createWorld({ seed: 0, shape: { ...SMALL_DEPLOYMENT, voters: [0, 1, 2] } })
    for (let n = 0; n < CHANGES; n++) {
      submitWorldChange(world, 'zone-a-h1', { changeId: `c${n}`, changes: [{ path: `${formatAdapterPath(0)}/w${n}`, expectedRevision: 0, values: {} }] })
      world.cluster.runFor(700)
    }
    world.cluster.crash('zone-a-h0')
    world.cluster.runFor(5_000)
    world.cluster.start('zone-a-h0')
    world.cluster.runFor(5_000)
    const replies: OperatorReply[] = []
    world.cluster.sendOperatorRequest({ host: 'zone-a-h1', call: { kind: 'settings.status' }, onReply: reply => { replies.push(reply) } })
    world.cluster.runFor(1_000)
    const reply = replies[0]
    const body = (reply?.ok === true ? reply.body : undefined) as { revision: number, hosts: ReadonlyArray<{ host: string, revision: number }> }
    expect(body.revision).toEqual(1 + CHANGES)
    expect(body.hosts.filter(({ revision }) => revision !== body.revision)).toEqual([])
  })
})
