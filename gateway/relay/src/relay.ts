/**
 * HTTP reverse proxy of entry hosts: takes in each caller's request, selects an endpoint, forwards the request and the
 * response, and enforces the deadline. A request that may have run is retried only if its route allows that. Requests that
 * this host cannot serve, while others may, go to a peer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { ErrorCode } from '@catkinferry/core.errors'
import { createMemoryBudget } from '@catkinferry/core.memory-budget'
import type { MonotonicMs } from '@catkinferry/core.types'
import { createEndpointNotices, createRequestLimits } from '@catkinferry/routing.endpoint-notices'
import { beginExchange, findQuarantine, waitUntilCheckable } from './arrival.ts'
import type { Arrival } from './arrival.ts'
import { MAX_CALLER_QUEUE_BYTES, MAX_CALLER_QUEUES_BYTES, MAX_ENDPOINT_RESPONSE_BYTES, MAX_FORWARDED_REQUESTS, MAX_HELD_RESPONSE_BYTES, MAX_STARTUP_WAIT_MS, STARTUP_WAIT_FRACTION } from './constants.ts'
import { createEndpointLinks } from './endpointLinks.ts'
import { createEndpointPaths } from './endpointPaths.ts'
import { createIdLimit } from './eventSplitter.ts'
import { EndReason } from './exchange.ts'
import { END_FAILURES, finishExchange, finishQuarantined, finishWithFailure } from './finishExchange.ts'
import { decodeForwarded, PeerOutcome } from './forwardedRequest.ts'
import type { ForwardedFacts } from './forwardedRequest.ts'
import { mayEndInTime, refuseLate, STOPPING } from './lateRequests.ts'
import { sendFailure } from './ownAnswers.ts'
import { createBodyReader } from './readBody.ts'
import { HeldUse } from './relayOptions.ts'
import type { RelayOptions } from './relayOptions.ts'
import { createPeerLinks } from './relayPeers.ts'
import type { DrainTimes, RelayState } from './relayState.ts'
import { createRetryAllowance } from './retryAllowance.ts'
import { doubtAttempts } from './replaceAttempt.ts'
import { createRunEstimates } from './runEstimates.ts'
import { runExchange } from './runExchange.ts'
import { createRunTimes, DEFAULT_FIRST_BYTE_MS, DEFAULT_RUN_MS } from './runTimes.ts'
import { createTargetFinder } from './target.ts'
import { createUnansweredReports, UnansweredReason } from './unansweredRequests.ts'
import type { UnansweredRequest } from './unansweredRequests.ts'

export interface Relay {
  readonly handle: (req: IncomingMessage, res: ServerResponse) => void
  /** Handles a request that another entry host forwards. */
  readonly handleForwarded: (req: IncomingMessage, res: ServerResponse) => void
  /** Logs a request that is not handled because its connection has ended. */
  readonly reportUnanswered: (request: UnansweredRequest) => void
  /** Whether this host serves requests of other entry hosts. */
  readonly isServingPeers: () => boolean
  /** Number of responses that are not written out yet. */
  readonly getActiveCount: () => number
  /** Bytes that are held for others, by use. */
  readonly getHeldBytes: () => Readonly<Record<HeldUse, number>>
  /** When the latest request came that was not refused for want of time while the host stops. */
  readonly getLastTakenAt: () => MonotonicMs
  /** From now on closes each caller's connection after its current or next response, and refuses requests that may not end in time. */
  readonly drain: (times?: DrainTimes) => void
  /** Ends the requests in progress that have a trait that is quarantined by now. */
  readonly endQuarantined: () => void
  /** Answers the requests that are still in progress, as far as no response has begun; the others are cut. Later ones are refused. */
  readonly endRemaining: () => void
  readonly close: () => void
}

const SWEEP_INTERVAL_MS = 5_000
/** Interval at which a stopping host looks for requests that have waited for too long. */
const LATE_CHECK_MS = 50
/** A host that has ended its requests takes no more of them. */
const DRAIN_OVER: DrainTimes = { balancerUntil: Number.NEGATIVE_INFINITY, endsAt: Number.NEGATIVE_INFINITY }

function beginDrain (state: RelayState, times: DrainTimes | undefined): void {
  state.draining = true
  state.drainTimes = times
  state.lateCheck ??= setInterval(refuseLate, LATE_CHECK_MS, state)
  state.lateCheck.unref()
  const lastBySocket = new Map([...state.answering.keys()].map(res => [res.req.socket, res]))
  for (const res of lastBySocket.values()) closeConnectionAfter(state, res)
}

/** Creates a relay. The HTTP server calls `handle` for each request. */
export function createRelay (opts: RelayOptions): Relay {
  const links = createEndpointLinks(opts)
  const runTimes = createRunTimes(DEFAULT_RUN_MS)
  const firstByteTimes = createRunTimes(DEFAULT_FIRST_BYTE_MS)
  const notices = createEndpointNotices()
  const limits = createRequestLimits({ getHostCount: opts.getEntryCount, nextFraction: opts.random.nextFraction })
  const paths = createEndpointPaths({ relay: opts, links, onLost: endpoint => doubtAttempts(state, endpoint) })
  const peers = createPeerLinks({ clock: opts.clock, nextFraction: opts.random.nextFraction, location: opts.location, listPeers: opts.listPeers, localIp: opts.localIp })
  const state: RelayState = {
    opts,
    links,
    paths,
    peers,
    finder: createTargetFinder({ isCutOff: paths.isCutOff, relay: opts, links, runTimes, firstByteTimes, notices, limits }),
    runTimes,
    firstByteTimes,
    runEstimates: createRunEstimates(),
    notices,
    limits,
    allowance: createRetryAllowance({ ...opts.retryBudget, getEntryCount: opts.getEntryCount, getNow: opts.clock.getMonotonicMs }),
    bodies: createBodyReader(),
    reportUnanswered: createUnansweredReports(opts),
    eventIds: createIdLimit(),
    callerMemory: createMemoryBudget({ maxBytes: MAX_CALLER_QUEUES_BYTES, maxOwnerBytes: MAX_CALLER_QUEUE_BYTES }),
    responseMemory: createMemoryBudget({ maxBytes: MAX_HELD_RESPONSE_BYTES, maxOwnerBytes: MAX_ENDPOINT_RESPONSE_BYTES }),
    answering: new Map(),
    exchanges: new Set(),
    forwardedCount: 0,
    closing: new WeakSet(),
    turns: new WeakMap(),
    draining: false,
    drainTimes: undefined,
    lateCheck: undefined,
    lastTakenAt: Number.NEGATIVE_INFINITY
  }
  const sweep = setInterval(() => {
    links.sweep()
    peers.sweep()
  }, SWEEP_INTERVAL_MS)
  sweep.unref()
  const stopSilenceCheck = opts.loop.watch({
    onLate: ({ lateMs }) => {
      links.recordPause(lateMs)
      peers.recordPause(lateMs)
    },
    onTurn: () => {
      reportSilenceChanges(state)
      paths.check()
    }
  })
  return {
    handle: (req, res) => { void handle(state, req, res) },
    handleForwarded: (req, res) => { void handleForwarded(state, req, res) },
    reportUnanswered: state.reportUnanswered,
    isServingPeers: () => isServingPeers(state),
    getActiveCount: () => state.answering.size,
    getHeldBytes: () => ({ [HeldUse.RESPONSES]: state.responseMemory.getHeldBytes(), [HeldUse.CALLERS]: state.callerMemory.getHeldBytes(), [HeldUse.EVENT_IDS]: state.eventIds.getHeldBytes() }),
    getLastTakenAt: () => state.lastTakenAt,
    drain: times => beginDrain(state, times),
    endQuarantined: () => {
      for (const exchange of state.exchanges) {
        const reason = findQuarantine(state, exchange.traits)
        if (reason !== undefined) finishQuarantined(state, exchange, reason)
      }
    },
    endRemaining: () => endRemaining(state),
    close: () => {
      clearInterval(sweep)
      stopSilenceCheck()
      endRemaining(state)
      links.close()
      peers.close()
    }
  }
}

/** Answers or cuts the requests that are still in progress, and takes no more. */
function endRemaining (state: RelayState): void {
  clearInterval(state.lateCheck)
  state.draining = true
  state.drainTimes = DRAIN_OVER
  for (const exchange of state.exchanges) finishExchange(state, exchange, EndReason.STOPPED)
  // Requests that are not matched to a route yet.
  for (const [res, forwarded] of state.answering) if (!res.headersSent && !res.destroyed) sendFailure(res, END_FAILURES[EndReason.STOPPED].notRun, forwarded === undefined ? undefined : PeerOutcome.DECLINED)
}

function isServingPeers ({ draining, paths }: RelayState): boolean {
  return !draining && !paths.isCutOffConfirmed()
}

/** Reports endpoints that became silent, and those that no longer are. */
function reportSilenceChanges ({ opts, links, paths }: RelayState): void {
  const now = opts.clock.getMonotonicMs()
  for (const link of links.updateSilent()) {
    const { endpoint, silent, awaitingSince, inFlight } = link
    if (silent) paths.recordSilent(link)
    else opts.directory.setSilent(endpoint, false)
    const silentMs = awaitingSince === undefined ? undefined : Math.round(now - awaitingSince)
    opts.logger.info(silent ? 'endpoint is silent: no bytes while requests are in flight' : 'endpoint is no longer silent', { step: 'health', peer: endpoint, silentMs, inFlight, lateMs: Math.round(opts.loop.getRecentLateMs()) })
  }
}

/** Announces that the connection closes after this response. If the head is sent already, the next one does: a caller that is not told may send on it. */
function closeConnectionAfter ({ closing }: RelayState, res: ServerResponse): void {
  if (res.headersSent) return
  res.shouldKeepAlive = false
  closing.add(res.req.socket)
}

async function handleForwarded (state: RelayState, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const forwarded = decodeForwarded(req.headers)
  const decline = (message: string): void => {
    sendFailure(res, { code: ErrorCode.NOT_SERVING, message, step: 'forward', ran: 'no' }, PeerOutcome.DECLINED)
    req.resume()
  }
  if (forwarded === undefined) decline('the request does not say how far it has come')
  else if (!isServingPeers(state)) decline('this host serves no requests of others now')
  else if ((state.opts.directory.getRoutes()?.table.version ?? 0) < forwarded.routesVersion) decline('this host has an older route table')
  else if (state.forwardedCount >= MAX_FORWARDED_REQUESTS) decline('this host serves as many requests of others as it may')
  else {
    state.forwardedCount += 1
    try {
      await handle(state, req, res, forwarded)
    } finally {
      state.forwardedCount -= 1
    }
  }
}

async function handle (state: RelayState, req: IncomingMessage, res: ServerResponse, forwarded?: ForwardedFacts): Promise<void> {
  if (req.socket.writableEnded || state.closing.has(req.socket)) {
    // The request arrived after the response that ends the connection. Neither answered nor forwarded, it can safely be retried elsewhere.
    state.reportUnanswered({ req, reason: UnansweredReason.BEHIND_LAST })
    req.resume()
    return
  }
  state.answering.set(res, forwarded)
  res.once('close', () => state.answering.delete(res))
  if (state.draining) closeConnectionAfter(state, res)
  res.on('error', () => undefined)
  const arrivedAt = state.opts.clock.getMonotonicMs() - (forwarded?.waitedMs ?? 0)
  const turn = answerInTurn(state, { req, res, arrivedAt, forwarded }, state.turns.get(req.socket))
  state.turns.set(req.socket, turn)
  await turn
  if (state.turns.get(req.socket) === turn) state.turns.delete(req.socket)
}

/** Answers a request once the one before it on the connection is answered: that response may end the connection, and only then would the caller's leaving be noticed. */
async function answerInTurn (state: RelayState, arrival: Omit<Arrival, 'facts'>, earlier: Promise<void> | undefined): Promise<void> {
  const { req, res } = arrival
  if (earlier !== undefined) {
    const limits = state.opts.directory.getRoutes()?.table.limits
    if (limits !== undefined) state.bodies.readAhead(req, limits.maxBodyBytes)
    await earlier
  }
  if (req.socket.destroyed || req.socket.writableEnded) {
    state.answering.delete(res)
    state.bodies.release(arrival)
    req.resume()
    state.reportUnanswered({ req, reason: UnansweredReason.CLOSED })
    return
  }
  await answer(state, arrival)
  state.bodies.release(arrival)
  if (!res.closed) await new Promise(resolve => { res.once('close', resolve) })
}

async function answer (state: RelayState, { req, res, arrivedAt, forwarded }: Omit<Arrival, 'facts'>): Promise<void> {
  try {
    const facts = state.opts.dialect.readRequest(req.headers, req.rawHeaders)
    await state.opts.waitUntilReady(Math.min(MAX_STARTUP_WAIT_MS, (facts.deadlineMs ?? Infinity) * STARTUP_WAIT_FRACTION))
    const arrival = { req, res, facts, arrivedAt, forwarded }
    await waitUntilCheckable(state, arrival)
    if (res.destroyed || res.writableEnded) {
      if (!res.headersSent) state.reportUnanswered({ req, reason: UnansweredReason.CLOSED })
      return
    }
    const exchange = beginExchange(state, arrival)
    if (exchange === undefined) return
    if (mayEndInTime(state, exchange)) {
      state.lastTakenAt = state.opts.clock.getMonotonicMs()
      await runExchange(state, exchange)
    } else {
      finishWithFailure(state, exchange, STOPPING)
      req.resume()
    }
  } catch (error) {
    state.opts.logger.error('a request failed inside the relay', { step: 'relay', cause: error })
    if (res.headersSent) res.destroy()
    else sendFailure(res, { code: ErrorCode.INTERNAL, message: 'internal error in the relay', step: 'relay' }, forwarded === undefined ? undefined : PeerOutcome.LOST)
  }
}
