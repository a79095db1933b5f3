/**
 * Runs an attempt that stays open while nothing is heard from it, and another beside it: the first that answers the caller ends
 * the others. Called by the relay for each attempt at an endpoint. Only requests that may be repeated come in doubt.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { DurationMs, EndpointId } from '@catkinferry/core.types'
import type { AttemptEnd } from './attempt.ts'
import { countHostEnd, describeSilence, findHostReason, HostEndOutcome, reportLost } from './attemptReport.ts'
import { HEARD_RECENTLY_MS, MAX_NOT_RUN_ATTEMPTS, MAX_OVERLAP_MS, REPLACEMENT_INTERVAL_MS } from './constants.ts'
import { HostEndReason, isRetryable } from './exchange.ts'
import type { Exchange, LiveAttempt } from './exchange.ts'
import { forwardToPeer } from './forwardToPeer.ts'
import type { TakenEnd } from './forwardToPeer.ts'
import { findNextTarget, releaseGranted } from './nextTarget.ts'
import type { LogFields, RelayState } from './relayState.ts'
import { runAttempt } from './runAttempt.ts'
import type { AttemptOptions } from './runAttempt.ts'

/** How an attempt ended, or the one that took its place. */
export type ReplaceableEnd = AttemptEnd | { readonly kind: 'forwarded', readonly end: TakenEnd }

/** What the searches for a replacement of one attempt have in common. */
interface Search {
  readonly attempt: LiveAttempt
  /** A retry was taken from the allowance and nothing was sent for it yet. */
  hasRetry: boolean
  /** Why the latest search found nothing, and how long until the next one. */
  reason: string | undefined
  waitMs: DurationMs
}

/** Marks the attempts from which nothing will be heard for now: those at one endpoint, or at all. */
export function doubtAttempts (state: RelayState, endpoint?: EndpointId): void {
  const { opts, exchanges } = state
  const now = opts.clock.getMonotonicMs()
  for (const exchange of exchanges) {
    if (!isRetryable(exchange)) continue
    for (const attempt of exchange.live) {
      const { target, isDoubted } = attempt
      const isConcerned = endpoint === undefined ? now - target.link.heardAt > HEARD_RECENTLY_MS : target.endpoint === endpoint
      if (target.isPeer === true || isDoubted || !isConcerned) continue
      const mayReplace = new Set([...exchange.tried, target.endpoint]).size < exchange.route.maxEndpoints
      report(state, exchange, attempt, mayReplace ? 'nothing is heard from an attempt: looking for a replacement' : 'nothing is heard from an attempt: the route allows no further endpoint')
      if (!mayReplace) continue
      attempt.isDoubted = true
      attempt.onDoubt?.()
    }
  }
}

function report (state: RelayState, exchange: Exchange, { target: { endpoint, link } }: LiveAttempt, message: string, fields: LogFields = {}): void {
  state.opts.logger.info(message, { step: 'doubt', peer: endpoint, ...describeSilence(state, exchange, link), ...fields })
}

/** Whether the exchange still lacks an answer, and the attempt has not gone on. */
function needsReplacement ({ paths }: RelayState, exchange: Exchange, { attempt }: Search): boolean {
  const { ended, res, live } = exchange
  if (ended !== undefined || res.writableEnded || !isRetryable(exchange)) return false
  return !live.has(attempt) || (attempt.isDoubted && (attempt.target.link.silent || paths.isCutOff()))
}

function reportKept (state: RelayState, exchange: Exchange, search: Search, reason: string, retryAfterMs = 0): undefined {
  search.waitMs = Math.max(REPLACEMENT_INTERVAL_MS, retryAfterMs)
  if (reason !== search.reason) report(state, exchange, search.attempt, 'keeping an attempt from which nothing is heard', { reason })
  search.reason = reason
}

/** Ends either a replacement or what it replaces, which may be several attempts, once they have been in progress for `MAX_OVERLAP_MS`. */
function limitOverlap ({ live }: Exchange, replacement: LiveAttempt): void {
  const attempts = [...live]
  const earlier = attempts.slice(0, Math.max(0, attempts.indexOf(replacement)))
  if (earlier.some(({ isDoubted }) => !isDoubted)) replacement.interrupt()
  else for (const attempt of earlier) attempt.replace()
}

async function runBeside (state: RelayState, exchange: Exchange, opts: Pick<AttemptOptions, 'target' | 'logFields'>): Promise<ReplaceableEnd> {
  let timer: NodeJS.Timeout | undefined
  // Bytes that have arrived meanwhile are read first.
  const onSent = (replacement: LiveAttempt): void => { timer = setTimeout(() => setImmediate(limitOverlap, exchange, replacement), MAX_OVERLAP_MS) }
  const end = await runReplaceable(state, exchange, { ...opts, onSent })
  clearTimeout(timer)
  return end
}

/** Ends the attempt at a peer if the endpoint in doubt is reached again and neither of them has answered. */
function endUnneededPeer (state: RelayState, exchange: Exchange, search: Search): void {
  if (!exchange.live.has(search.attempt) || needsReplacement(state, exchange, search)) return
  for (const attempt of exchange.live) if (attempt.target.isPeer === true) attempt.interrupt()
}

async function forwardBeside (state: RelayState, exchange: Exchange, search: Search, reason: string): Promise<ReplaceableEnd | undefined> {
  const timer = setInterval(() => setImmediate(endUnneededPeer, state, exchange, search), MAX_OVERLAP_MS)
  const end = await forwardToPeer({ relay: state.opts, peers: state.peers, exchange, reason, tryTakeRetry: () => state.allowance.tryTake(exchange.pool.name), isWanted: () => needsReplacement(state, exchange, search) })
  clearInterval(timer)
  if (end.kind === 'interrupted') return end
  if (end.kind !== 'notTaken') return { kind: 'forwarded', end }
  exchange.mayForward = false
  return undefined
}

function describeLoss (end: AttemptEnd): string {
  if (end.kind === 'failed') return `the endpoint answered ${end.response.status}`
  return 'reason' in end ? end.reason : 'the peer answered without success'
}

/** Whether to look for another replacement after one that has failed while the attempt was still in doubt. */
function handleReplacementEnd (state: RelayState, exchange: Exchange, search: Search, end: ReplaceableEnd): boolean {
  if (end.kind === 'withheld') return true
  const lost = end.kind === 'forwarded' ? end.end : end
  reportLost(state, exchange, { end: lost, reason: describeLoss(lost), mayTryAnother: exchange.tried.size < exchange.route.maxEndpoints })
  countHostEnd(state, lost, HostEndOutcome.RETRIED)
  if (lost.kind === 'failed') exchange.errorResponse = lost.response
  if (end.kind === 'forwarded') exchange.mayForward = false
  search.hasRetry = lost.kind === 'notRun' && !lost.isAnswered
  return lost.kind !== 'notRun' || exchange.refusedBy.size <= MAX_NOT_RUN_ATTEMPTS
}

function isDelivered (end: ReplaceableEnd): boolean {
  return end.kind === 'delivered' || (end.kind === 'forwarded' && end.end.kind === 'delivered')
}

/** Takes a retry from the allowance, unless one is left from an endpoint that was not reached. */
function tryTakeRetry ({ allowance }: RelayState, { pool }: Exchange, search: Search): boolean {
  search.hasRetry ||= allowance.tryTake(pool.name)
  return search.hasRetry
}

/** Runs the request elsewhere. Returns undefined if nothing takes the place of the attempt in doubt. */
async function runReplacement (state: RelayState, exchange: Exchange, search: Search): Promise<ReplaceableEnd | undefined> {
  for (;;) {
    if (exchange.tried.size >= exchange.route.maxEndpoints) return reportKept(state, exchange, search, 'the route allows no further endpoint')
    const found = await findNextTarget(state, exchange, () => needsReplacement(state, exchange, search))
    if (found === undefined) return undefined
    if (found.kind === 'none') return reportKept(state, exchange, search, found.reason, found.retryAfterMs)
    if (!tryTakeRetry(state, exchange, search)) {
      if (found.kind === 'target') releaseGranted(state, found.target)
      return reportKept(state, exchange, search, 'the retry allowance is used up')
    }
    const end = found.kind === 'target' ? await runBeside(state, exchange, found) : await forwardBeside(state, exchange, search, found.reason)
    if (end === undefined) continue
    if (end.kind === 'interrupted') {
      search.hasRetry = false
      return exchange.ended === undefined ? undefined : end
    }
    if (isDelivered(end) || !exchange.live.has(search.attempt)) return end
    if (!handleReplacementEnd(state, exchange, search, end)) return reportKept(state, exchange, search, 'too many endpoints have refused the request')
  }
}

function waitForDoubt (attempt: LiveAttempt): Promise<void> {
  return new Promise(resolve => {
    attempt.onDoubt = resolve
    if (attempt.isDoubted) resolve()
  })
}

/** Records how an attempt in doubt failed by itself while its replacement was in progress. */
function recordFailed (state: RelayState, exchange: Exchange, end: AttemptEnd): void {
  const isFailed = end.kind === 'failed' || end.kind === 'notRun' || (end.kind === 'lost' && end.hostReason !== HostEndReason.SILENT)
  if (end.kind === 'failed') exchange.errorResponse = end.response
  if (isFailed) reportLost(state, exchange, { end, reason: describeLoss(end), mayTryAnother: true })
}

function reportReplaced (state: RelayState, exchange: Exchange, { target }: LiveAttempt, end: AttemptEnd): void {
  countHostEnd(state, end, HostEndOutcome.REPLACED)
  state.opts.logger.info('another attempt has taken the place of one from which nothing was heard', { step: 'doubt', requestId: exchange.facts.requestId, peer: target.endpoint, tried: [...exchange.tried] })
}

/** Runs an attempt and, while nothing is heard from it, replacements beside it. */
export async function runReplaceable (state: RelayState, exchange: Exchange, opts: Omit<AttemptOptions, 'onBegin'>): Promise<ReplaceableEnd> {
  let attempt: LiveAttempt | undefined
  const ended = runAttempt(state, exchange, { ...opts, onBegin: live => { attempt = live } })
  if (attempt === undefined) return await ended
  const search: Search = { attempt, hasRetry: false, reason: undefined, waitMs: REPLACEMENT_INTERVAL_MS }
  const isEnded = ended.then(() => true)
  for (;;) {
    if (await Promise.race([isEnded, waitForDoubt(search.attempt).then(() => false)])) return await ended
    // While it is in doubt it counts as one that may have run the request.
    exchange.tried.add(opts.target.endpoint)
    const replacement = runReplacement(state, exchange, search)
    if (await Promise.race([isEnded, replacement.then(() => false)])) {
      const end = await ended
      if (findHostReason(end) === HostEndReason.SILENT) reportReplaced(state, exchange, search.attempt, end)
      const replaced = await replacement
      // An answer stands, whatever became of the replacement.
      if (isDelivered(end)) return end
      if (replaced !== undefined) recordFailed(state, exchange, end)
      return replaced ?? end
    }
    const end = await replacement
    if (!exchange.live.has(search.attempt)) {
      const own = await ended
      return isDelivered(own) ? own : end ?? own
    }
    if (end !== undefined) return end
    if (needsReplacement(state, exchange, search)) await Promise.race([isEnded, sleep(search.waitMs, undefined, { ref: false })])
    else search.attempt.isDoubted = false
  }
}
