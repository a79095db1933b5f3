import type { PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createOutbox } from '../src/outbox.ts'

const first: PeerMessage = { kind: 'member.askView', zone: 'a' }
const second: PeerMessage = { kind: 'member.askView', zone: 'b' }

describe('createOutbox', () => {
  it('loops back a message that is sent after the loopback queue was emptied', () => {
    const outbox = createOutbox({ self: 'h1', now: 0, wallNow: 0 })
    outbox.context.send('h1', first)
    expect(outbox.takeLoopback()).toEqual(first)
    expect(outbox.takeLoopback()).toEqual(undefined)
    outbox.context.send('h1', second)
    expect(outbox.takeLoopback()).toEqual(second)
  })

  it('outputs messages to other hosts', () => {
    const outbox = createOutbox({ self: 'h1', now: 0, wallNow: 0 })
    outbox.context.send('h2', first)
    expect(outbox.takeLoopback()).toEqual(undefined)
    expect(outbox.outputs).toEqual([{ kind: 'peer.send', to: 'h2', message: first }])
  })
})
