/** Finds where the next attempt of a request goes, and waits for its turn where endpoints must turn few requests away. */
import type { DurationMs } from '@catkinferry/core.types'
import { UNCHECKED } from './accountCheck.ts'
import { MIN_REMAINING_MS } from './constants.ts'
import type { Exchange, Target } from './exchange.ts'
import { isTooLate, STOPPING } from './lateRequests.ts'
import type { RelayState } from './relayState.ts'
import type { FoundTarget } from './target.ts'

export type NextTarget = Exclude<FoundTarget, { kind: 'full' }>

/** Gives back an adapter that the leader granted and that is not used after all. */
export function releaseGranted ({ opts }: RelayState, { endpoint, adapterKey, hasFreeSlot }: Target): void {
  if (adapterKey !== undefined && hasFreeSlot === undefined) opts.directory.recordUnused(endpoint, adapterKey)
}

export function waitForTurn (exchange: Exchange, waitMs: DurationMs): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      exchange.interrupt = undefined
      resolve()
    }
    const timer = setTimeout(finish, waitMs)
    exchange.interrupt = finish
  })
}

/** A request whose key this host cannot check is served by a peer or not at all. */
async function findTarget ({ finder }: RelayState, exchange: Exchange): Promise<FoundTarget> {
  if (!exchange.isUnchecked) return await finder.find(exchange)
  return exchange.mayForward ? { kind: 'elsewhere', reason: UNCHECKED.message } : { kind: 'none', reason: UNCHECKED.message }
}

/** Returns undefined once `isWanted` is false. */
export async function findNextTarget (state: RelayState, exchange: Exchange, isWanted: () => boolean): Promise<NextTarget | undefined> {
  for (;;) {
    const found = await findTarget(state, exchange)
    if (!isWanted()) {
      if (found.kind === 'target') releaseGranted(state, found.target)
      return undefined
    }
    if (found.kind === 'full') {
      await waitForTurn(exchange, found.waitMs)
      if (!isWanted()) return undefined
      continue
    }
    if (found.kind !== 'none' && isTooLate(state, exchange)) {
      if (found.kind === 'target') releaseGranted(state, found.target)
      return { kind: 'none', reason: STOPPING.message }
    }
    if (found.kind !== 'target') return found
    if (exchange.deadlineAt - state.opts.clock.getMonotonicMs() < MIN_REMAINING_MS) {
      releaseGranted(state, found.target)
      return { kind: 'none', reason: 'not enough time left to send the request' }
    }
    if (state.finder.hasRoom(exchange, found.target)) return found
    releaseGranted(state, found.target)
  }
}
