import { decodeCompact, encodeCompact } from '@catkinferry/wire.messages'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const MESSAGES: readonly PeerMessage[] = [
  { kind: 'grant.ask', attemptId: 'r.1', endpoint: 'e', adapterKey: 'a@1', serviceClass: 'urgent', remainingMs: 10, maxRunMs: 20 },
  { kind: 'grant.ask', attemptId: 'r.1', pool: 'p', origin: 'h', adapterKey: 'a@1', serviceClass: 'urgent', remainingMs: 10, maxRunMs: 20 },
  { kind: 'grant.given', attemptId: 'r.1', endpoint: 'e', fencing: 7, heldMs: 0, startWithinMs: 500, loadStallMs: 0 },
  { kind: 'grant.refused', attemptId: 'r.1', reason: 'full' },
  { kind: 'grant.release', attemptId: 'r.1', endpoint: 'e', ran: false, runMs: 0 },
  { kind: 'grant.cancel', attemptId: 'r.1' },
  { kind: 'owner.renew', zone: 'z', ballot: 1, askId: 2, epoch: 3, viewSequence: 4, highestFencing: 5, leaving: false, holding: [{ endpoint: 'e', fencing: 1 }], life: 6 },
  { kind: 'owner.assign', zone: 'z', ballot: 1, askId: 2, subLeaseMs: 3, epoch: 4, viewSequence: 5, endpoints: [] },
  { kind: 'lease.held', zone: 'z', ballot: 1 }
]

describe('compact form', () => {
  it('decodes to the original message', () => {
    for (const message of MESSAGES) expect(decodeCompact(encodeCompact(message)) as PeerMessage).toEqual(message)
  })

  it('leaves messages of other kinds unchanged', () => {
    expect(encodeCompact({ kind: 'lease.held', zone: 'z', ballot: 1 })).toEqual({ kind: 'lease.held', zone: 'z', ballot: 1 })
  })

  it('refuses a list with an unknown code or too many values', () => {
    for (const value of [[], [99, 'x'], ['grant.ask'], [4, 'a', 'b', 'c']]) expect(decodeCompact(value)).toEqual(undefined)
  })
})
