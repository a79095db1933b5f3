import { expect } from 'earl'
import { describe, it } from 'node:test'
import { playCalm } from './commandCalm.ts'

const ACK_BOUND_MS = 5_000
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
/** As in the operator API. */
const COMMAND_TIMEOUT_MS = 2_500
/** Time limit for opening a peer link, and the next check of the link. */
const LINK_RETURN_MS = 2_500

/** Guards against valid configurations and versions that are not acknowledged in the calm after cuts, pauses, restarts and elections. */
describe('orders of an operator', () => {
  for (const [name, maxLinkReturnMs] of [['at once', 0], ['late', LINK_RETURN_MS]] as const) {
    it(`are acknowledged once calm has begun, with links that come back ${name}`, () => {
      const slow = SEEDS.flatMap(seed => playCalm({ seed, commandTimeoutMs: COMMAND_TIMEOUT_MS, maxLinkReturnMs }).filter(({ ackMs }) => ackMs > ACK_BOUND_MS).map(order => ({ seed, ...order })))
      expect(slow).toEqual([])
    })
  }
})
