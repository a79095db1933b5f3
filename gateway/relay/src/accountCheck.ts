/**
 * Decides which account a request belongs to and whether it may run: by its key, the route table, and the account's quota. The
 * relay calls it for each request after the match to a route. It needs no network.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { QuotaUnit } from '@catkinferry/core.types'
import type { Account, Route } from '@catkinferry/core.types'
import type { ActiveRoutes } from '@catkinferry/fleet.directory'
import type { AccountGate } from './accountGate.ts'
import { RETRY_AFTER_MS } from './constants.ts'
import type { RequestFacts } from './dialect.ts'
import type { Exchange } from './exchange.ts'

export type AccountCheck =
  /** No key is needed. `account`: that of the key, if the request has a known one. */
  | { readonly kind: 'open', readonly account?: Account }
  | { readonly kind: 'known', readonly account: Account }
  /** The key is missing, or no account has it. */
  | { readonly kind: 'unauthenticated' }
  /** This host cannot tell whether the key is valid. */
  | { readonly kind: 'unchecked' }

/** Outcomes of checks of requests that need a key, as counted in the metrics. */
export const CheckOutcome = { KNOWN: 'known', UNAUTHENTICATED: 'unauthenticated', UNCHECKED: 'unchecked', OVER_LIMIT: 'overLimit' } as const
export type CheckOutcome = typeof CheckOutcome[keyof typeof CheckOutcome]

export const UNAUTHENTICATED: Failure = { code: ErrorCode.UNAUTHENTICATED, message: 'the request has no key of an account', step: 'account', ran: 'no' }
export const UNCHECKED: Failure = { code: ErrorCode.NOT_SERVING, message: 'this host cannot tell now whether the key is valid', step: 'account', ran: 'no', retryAfterMs: RETRY_AFTER_MS }

export interface AccountCheckOptions {
  readonly routes: Pick<ActiveRoutes, 'table' | 'keys'>
  /** Undefined if none matches. */
  readonly route: Route | undefined
  readonly key: string | undefined
  readonly gate: Pick<AccountGate, 'isCurrent' | 'isRecent'> | undefined
}

export function checkAccount ({ routes: { table, keys }, route, key, gate }: AccountCheckOptions): AccountCheck {
  if (table.accounts === undefined) return { kind: 'open' }
  const checkable = gate?.isCurrent() === false ? undefined : keys
  const account = checkable?.find(key)
  // A key that cannot be checked may have been taken away, so no account is named for it.
  if (route?.isPublic === true) return { kind: 'open', account }
  if (checkable === undefined) return { kind: 'unchecked' }
  // Without a route there is nothing to run.
  if (route === undefined) return { kind: 'open' }
  if (account !== undefined) return { kind: 'known', account }
  return gate?.isRecent?.() === false ? { kind: 'unchecked' } : { kind: 'unauthenticated' }
}

/** Priorities of routes that are told apart within one priority of accounts. */
export const PRIORITIES_PER_ACCOUNT_PRIORITY = 10

/** The priority of a request: that of the account first, if it has one, then that of the route, so that an account's live requests still go before its batches. */
export function computePriority ({ priority }: Pick<Account, 'priority'>, route: Pick<Route, 'priority'>): number {
  if (priority === undefined) return route.priority
  const second = Math.max(0, Math.min(PRIORITIES_PER_ACCOUNT_PRIORITY - 1, Math.round(route.priority)))
  return priority + second / PRIORITIES_PER_ACCOUNT_PRIORITY
}

/** Units of a request by the quota of its account; undefined if the account is not limited. */
export function computeUnits ({ quota }: Account, { tokens }: Pick<RequestFacts, 'tokens'>): number | undefined {
  if (quota === undefined) return undefined
  return quota.unit === QuotaUnit.TOKENS ? tokens ?? quota.plainUnits : 1
}

export type Charge =
  /** `units` is undefined if nothing was taken, because there is no limit. */
  | { readonly admitted: true, readonly units?: number }
  | { readonly admitted: false, readonly failure: Failure }

/** Takes the units of a request from the quota of its account. */
export function takeUnits (gate: Pick<AccountGate, 'tryTake'> | undefined, account: Account, facts: Pick<RequestFacts, 'tokens'>): Charge {
  const units = computeUnits(account, facts)
  if (gate === undefined || units === undefined) return { admitted: true }
  const decision = gate.tryTake(account, units)
  if (decision.admitted) return { admitted: true, units }
  return { admitted: false, failure: { code: ErrorCode.OVER_LIMIT, message: 'the account is over its quota', step: 'account', ran: 'no', retryAfterMs: decision.retryAfterMs } }
}

/** Gives back what was taken for a request that has not run and never will, at most once. */
export function releaseUnits (gate: Pick<AccountGate, 'giveBack'> | undefined, exchange: Pick<Exchange, 'account' | 'chargedUnits'>): void {
  const { account, chargedUnits } = exchange
  if (account === undefined || chargedUnits === undefined) return
  exchange.chargedUnits = undefined
  gate?.giveBack(account, chargedUnits)
}
