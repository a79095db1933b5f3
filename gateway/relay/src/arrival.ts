/**
 * Takes in a request: matches it to a route and its key to an account, and refuses it if it may not run. The relay calls it once
 * for each request, before the body is read, so that only the route table in force on arrival counts.
 */
import type { IncomingMessage } from 'node:http'
import { MAX_TIMER_MS } from '@catkinferry/core.clock'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { isWholeRequest } from '@catkinferry/core.types'
import type { Account, RequestTrait, Route } from '@catkinferry/core.types'
import type { ActiveRoutes } from '@catkinferry/fleet.directory'
import { choosePool } from '@catkinferry/routes.table'
import { checkAccount, CheckOutcome, computePriority, takeUnits, UNAUTHENTICATED, UNCHECKED } from './accountCheck.ts'
import type { AccountCheck } from './accountCheck.ts'
import { createCallerQueue } from './callerQueue.ts'
import { ACCOUNT_WAIT_MS, RETRY_AFTER_MS, STARTUP_WAIT_FRACTION } from './constants.ts'
import { createDeliveredEvents } from './eventSplitter.ts'
import { EndReason } from './exchange.ts'
import type { Exchange } from './exchange.ts'
import { END_FAILURES, reportEnd } from './finishExchange.ts'
import { PeerOutcome } from './forwardedRequest.ts'
import type { ForwardedFacts } from './forwardedRequest.ts'
import { countHeaderBytes } from './headers.ts'
import { sendFailure } from './ownAnswers.ts'
import type { LogFields, RelayState } from './relayState.ts'

/** The parser of Node.js lets other characters pass, but throws if they are sent on. */
const REQUEST_TARGET = /^[\u0021-\u00ff]+$/

/** Hosts with another version of the route table may still go on with the request. */
const ROUTE_CHANGED: Failure = { code: ErrorCode.NOT_SERVING, message: 'the route table of this host no longer has the route or service by which the request began', step: 'route', ran: 'no', retryAfterMs: RETRY_AFTER_MS }

export type Arrival = Pick<Exchange, 'req' | 'res' | 'facts' | 'arrivedAt' | 'forwarded'>

/** Why a request with these traits is refused or ended; undefined if none of them is quarantined. */
export function findQuarantine ({ opts }: RelayState, traits: readonly RequestTrait[]): typeof EndReason.PROMPT_QUARANTINED | typeof EndReason.REQUEST_QUARANTINED | undefined {
  const trait = opts.directory.findQuarantined(traits)
  if (trait === undefined) return undefined
  return isWholeRequest(trait) ? EndReason.REQUEST_QUARANTINED : EndReason.PROMPT_QUARANTINED
}

function findRoute ({ matcher }: ActiveRoutes, { url = '', headers }: IncomingMessage): Route | undefined {
  const query = url.indexOf('?')
  return matcher.match(headers.host ?? '', query === -1 ? url : url.slice(0, query))
}

/** Waits a moment if this host cannot tell whether the request's key is valid, as after a pause of its process. */
export async function waitUntilCheckable ({ opts: { accounts, directory } }: RelayState, { req, facts }: Arrival): Promise<void> {
  const routes = directory.getRoutes()
  if (accounts === undefined || routes?.table.accounts === undefined || accounts.isCurrent() || findRoute(routes, req)?.isPublic === true) return
  await accounts.waitUntilCurrent(Math.min(ACCOUNT_WAIT_MS, (facts.deadlineMs ?? Infinity) * STARTUP_WAIT_FRACTION))
}

/** How far a request has come that begins here, or at the host that has forwarded it. */
interface RequestProgress extends Pick<Exchange, 'route' | 'deadlineAt' | 'lastEventId' | 'mayForward'> {
  readonly poolName: string
}

function beginProgress ({ opts, peers }: RelayState, route: Route, { facts, arrivedAt }: Arrival): RequestProgress {
  return { route, poolName: choosePool(route.shares, opts.random.nextFraction()), deadlineAt: arrivedAt + Math.min(route.timeoutMs, facts.deadlineMs ?? Infinity, MAX_TIMER_MS), lastEventId: facts.lastEventId, mayForward: peers.hasAny() }
}

/** Whether an endpoint may have run part of a forwarded request, so that it can go on only in its pool. */
function hasBegun ({ tried, lastEventId }: ForwardedFacts): boolean {
  return tried.length > 0 || lastEventId !== undefined
}

/** The sender may have chosen the pool by an older route table; as long as nothing has begun there, only this host's table counts. */
function choosePoolAgain ({ opts }: RelayState, { shares }: Route, forwarded: ForwardedFacts): string {
  const { pool } = forwarded
  return hasBegun(forwarded) || shares.some(share => share.pool === pool && share.weight > 0) ? pool : choosePool(shares, opts.random.nextFraction())
}

function restoreProgress (state: RelayState, route: Route, forwarded: ForwardedFacts): RequestProgress {
  const { maxEndpoints, furtherEndpoints = 0, remainingMs, lastEventId } = forwarded
  return { route: { ...route, maxEndpoints: Math.min(route.maxEndpoints, maxEndpoints + furtherEndpoints) }, poolName: choosePoolAgain(state, route, forwarded), deadlineAt: state.opts.clock.getMonotonicMs() + Math.min(remainingMs, MAX_TIMER_MS), lastEventId, mayForward: false }
}

/** Refuses a request that has not run. `outcome`: what an entry host is told that has forwarded it. */
function refuse (state: RelayState, { req, res, facts, forwarded }: Arrival, failure: Failure, fields: LogFields = {}, outcome: PeerOutcome = PeerOutcome.REFUSED): undefined {
  const status = sendFailure(res, failure, forwarded === undefined ? undefined : outcome)
  req.resume()
  reportEnd(state, { requestId: facts.requestId, status, reason: failure.message, ...fields })
}

interface Admission {
  readonly account?: Account
  readonly chargedUnits?: number
  readonly isUnchecked?: boolean
}

/** Decides by the account check whether a matched request may run. Answers it and returns undefined if it may not run. */
function acceptChecked (state: RelayState, arrival: Arrival, route: Route, check: AccountCheck): Admission | undefined {
  if (check.kind === 'open') return check
  const { opts } = state
  const recordOutcome = (outcome: CheckOutcome): void => opts.observer.count('account_checks', { outcome })
  if (check.kind === 'unauthenticated') {
    recordOutcome(CheckOutcome.UNAUTHENTICATED)
    return refuse(state, arrival, UNAUTHENTICATED, { route: route.name, ran: 'no' })
  }
  if (check.kind === 'unchecked') {
    recordOutcome(CheckOutcome.UNCHECKED)
    return { isUnchecked: true }
  }
  const { account } = check
  const charge = arrival.forwarded?.isCharged === true ? { admitted: true as const } : takeUnits(opts.accounts, account, arrival.facts)
  recordOutcome(charge.admitted ? CheckOutcome.KNOWN : CheckOutcome.OVER_LIMIT)
  if (charge.admitted) return { account, chargedUnits: charge.units }
  return refuse(state, arrival, charge.failure, { route: route.name, account: account.name, ran: 'no', retryAfterMs: charge.failure.retryAfterMs })
}

/** Why no request with this head is taken; undefined if it may be. */
function findHeadFailure ({ url = '', rawHeaders }: IncomingMessage, maxHeaderBytes: number): Failure | undefined {
  if (countHeaderBytes(rawHeaders) > maxHeaderBytes) return { code: ErrorCode.HEADERS_TOO_LARGE, message: 'request headers exceed the size limit', step: 'route', ran: 'no' }
  return REQUEST_TARGET.test(url) ? undefined : { code: ErrorCode.BAD_REQUEST, message: 'the path of the request has invalid characters', step: 'route', ran: 'no' }
}

/** Refuses a request that matches no route. One that has begun elsewhere did match there. */
function refuseUnmatched (state: RelayState, arrival: Arrival, version: number): undefined {
  const { forwarded } = arrival
  if (forwarded !== undefined && hasBegun(forwarded)) return refuse(state, arrival, ROUTE_CHANGED, { ran: 'no' }, PeerOutcome.DECLINED)
  return refuse(state, arrival, { code: ErrorCode.NOT_FOUND, message: `no route matches in version ${version} of the route table`, step: 'route', ran: 'no' })
}

/** Matches the request to a route and an account. Answers it and returns undefined if that fails. */
export function beginExchange (state: RelayState, arrival: Arrival): Exchange | undefined {
  const { opts } = state
  const { req, facts, forwarded } = arrival
  const routes = opts.directory.getRoutes()
  if (routes === undefined) return refuse(state, arrival, { code: ErrorCode.NOT_SERVING, message: 'this host has not received a route table yet', step: 'route', ran: 'no', retryAfterMs: RETRY_AFTER_MS })
  const { table } = routes
  const headFailure = findHeadFailure(req, table.limits.maxHeaderBytes)
  if (headFailure !== undefined) return refuse(state, arrival, headFailure)
  const route = findRoute(routes, req)
  const check = checkAccount({ routes, route, key: facts.key, gate: opts.accounts })
  // Without a key, a caller learns nothing of what is quarantined.
  if (check.kind !== 'unauthenticated' && findQuarantine(state, facts.promptParts) !== undefined) return refuse(state, arrival, END_FAILURES[EndReason.PROMPT_QUARANTINED].notRun)
  if (check.kind === 'unchecked' && (route === undefined || forwarded !== undefined)) return refuse(state, arrival, UNCHECKED, { ran: 'no' }, PeerOutcome.DECLINED)
  if (route === undefined) return refuseUnmatched(state, arrival, table.version)
  const progress = forwarded === undefined ? beginProgress(state, route, arrival) : restoreProgress(state, route, forwarded)
  const pool = table.pools.find(({ name }) => name === progress.poolName)
  if (pool === undefined) return refuse(state, arrival, ROUTE_CHANGED, { route: route.name, ran: 'no' }, PeerOutcome.DECLINED)
  const admission = acceptChecked(state, arrival, route, check)
  if (admission === undefined) return undefined
  const { account, chargedUnits, isUnchecked = false } = admission
  return {
    ...arrival,
    route: account === undefined ? progress.route : { ...progress.route, priority: computePriority(account, progress.route) },
    pool,
    hasAccounts: table.accounts !== undefined,
    account,
    isUnchecked,
    chargedUnits,
    routesVersion: table.version,
    mayForward: progress.mayForward,
    hasUnreached: false,
    deadlineAt: progress.deadlineAt,
    body: Buffer.alloc(0),
    digest: '',
    traits: facts.promptParts,
    tried: new Set(),
    refusedBy: new Set(),
    errorResponse: undefined,
    memory: state.responseMemory,
    queue: createCallerQueue(state, arrival.res, facts.requestId),
    errorMemory: new Map(),
    lastEventId: progress.lastEventId,
    softwareVersion: forwarded?.softwareVersion,
    delivered: createDeliveredEvents(progress.lastEventId, state.eventIds),
    headSent: false,
    resumableHead: forwarded?.resumableHead,
    isUnframed: false,
    offered: false,
    firstByteMs: undefined,
    lastChunkAt: undefined,
    longestPauseMs: undefined,
    ended: undefined,
    lostBy: undefined,
    isQuarantined: false,
    interrupt: undefined,
    live: new Set()
  }
}
