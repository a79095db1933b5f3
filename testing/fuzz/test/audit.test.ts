import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorReply } from '@catkinferry/core.types'
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createWorld, formatAdapterPath } from '../src/world.ts'

describe('audit trail', () => {
  it('records a change that was refused because the operator lacks the role', () => {
    const world = createWorld({ seed: 0, shape: SMALL_DEPLOYMENT })
    const failure = { code: ErrorCode.FORBIDDEN, step: 'operator', message: 'needs the role write' }
    const operator = { name: 'reader', role: 'read' as const, from: '127.0.0.1' }
    const changes = [{ path: formatAdapterPath(0), expectedRevision: 1, values: { inForce: 'v2' } }]
    world.cluster.hosts.get('zone-b-h1')?.receive({ kind: 'operator.refused', operator, changeId: 'forbidden-1', changes, failure })
    world.cluster.runFor(2_000)
    const replies: OperatorReply[] = []
    world.cluster.sendOperatorRequest({ host: 'zone-a-h1', call: { kind: 'audit.list', afterSequence: 0, limit: 100, who: 'reader' }, onReply: reply => { replies.push(reply) } })
    world.cluster.runFor(2_000)
    const text = JSON.stringify(replies[0])
    expect(text.includes('forbidden-1')).toEqual(true)
    expect(text.includes('refused')).toEqual(true)
  })
})
