import { expect } from 'earl'
import { describe, it } from 'node:test'
import { measureAcknowledgements } from '@catkinferry/testing.fleet'

const ACK_BOUND_MS = 5_000
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
/** As in the operator API. */
const COMMAND_TIMEOUT_MS = 2_500
/** Time limit for opening a peer link, and the next check of the link. */
const LINK_RETURN_MS = 2_500

/** Guards against valid configurations and versions that are not acknowledged in the calm after cuts, pauses, restarts and elections. */
describe('orders of an operator', () => {
  const settings = [
    { name: 'with links that come back at once', maxLinkReturnMs: 0 },
    { name: 'with links that come back late', maxLinkReturnMs: LINK_RETURN_MS },
    { name: 'while voters are replaced', maxLinkReturnMs: LINK_RETURN_MS, joiningCores: 3 }
  ]
  for (const { name, ...setting } of settings) {
    it(`are acknowledged once calm has begun, ${name}`, () => {
      const slow = SEEDS.flatMap(seed => measureAcknowledgements({ seed, commandTimeoutMs: COMMAND_TIMEOUT_MS, ...setting }).filter(({ ackMs }) => ackMs > ACK_BOUND_MS).map(order => ({ seed, ...order })))
      expect(slow).toEqual([])
    })
  }
})
