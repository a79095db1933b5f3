/**
 * Software version at which a stream began. What two versions write does not fit together, so a stream goes on only at the version
 * that is known to have begun it, also where its caller resumes it at another host.
 */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import { RouteKind } from '@catkinferry/core.types'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import { MIXED_ORIGIN_WAIT_MS, ORIGIN_RETENTION_MARGIN_MS, ORIGIN_ROUNDS, ORIGIN_WAIT_MS, RETRY_AFTER_MS, UNSURE_ORIGIN_WAIT_FRACTION, UNSURE_ORIGIN_WAIT_MS } from './constants.ts'
import type { Exchange, Target } from './exchange.ts'
import { finishForwarded, finishWithFailure } from './finishExchange.ts'
import { forwardToPeer } from './forwardToPeer.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { RelayState } from './relayState.ts'

type OriginQuestion = Parameters<RelayOptions['directory']['askOrigin']>[0]
type OriginAnswer = Parameters<Parameters<RelayOptions['directory']['askOrigin']>[1]>[0]
type VersionHistory = ReturnType<RelayOptions['directory']['getVersionHistory']>

export type StreamOrigin =
  /** The stream goes on at this version; at any if undefined. */
  | { readonly kind: 'found', readonly softwareVersion?: string }
  /** No host knows, and several versions, or none, can have begun it. */
  | { readonly kind: 'unknown' }
  /** No core host has told which versions can have begun it, and this host cannot tell by itself. */
  | { readonly kind: 'unanswered' }

const ORIGIN_UNKNOWN: Failure = { code: ErrorCode.NO_CAPACITY, message: 'the software version that began the stream is not known', step: 'resume', ran: 'no', retryAfterMs: RETRY_AFTER_MS }
const ORIGIN_UNANSWERED: Failure = { ...ORIGIN_UNKNOWN, message: 'the software version that began the stream is not known: no core host has answered' }

function computeRetention ({ facts: { deadlineMs }, route }: Exchange): DurationMs {
  return (deadlineMs ?? route.timeoutMs) + ORIGIN_RETENTION_MARGIN_MS
}

/** Records the version at which a stream begins, once its caller is about to get the first event. */
export function recordOrigin ({ directory, clock }: RelayOptions, exchange: Exchange, { softwareVersion }: Target): void {
  if (!exchange.route.resumable || exchange.softwareVersion !== undefined || softwareVersion === undefined) return
  exchange.softwareVersion = softwareVersion
  const { requestId } = exchange.facts
  if (requestId === undefined) return
  const now = clock.getMonotonicMs()
  directory.recordOrigin({ requestId, pool: exchange.pool.name, softwareVersion, until: now + computeRetention(exchange) }, now)
}

/** Records the version of a resumed stream for as long as it may be resumed again. */
function recordResumed ({ directory, clock }: RelayOptions, exchange: Exchange, softwareVersion: string): void {
  const { resumes } = exchange.facts
  if (resumes === undefined || !exchange.route.resumable) return
  const now = clock.getMonotonicMs()
  directory.recordOrigin({ requestId: resumes, pool: exchange.pool.name, softwareVersion, until: now + computeRetention(exchange) }, now)
}

function queryCoreHosts (relay: RelayOptions, exchange: Exchange, question: OriginQuestion): Promise<OriginAnswer> {
  return new Promise(resolve => {
    exchange.interrupt = () => resolve({ isAnswered: false })
    relay.directory.askOrigin(question, answer => {
      exchange.interrupt = undefined
      resolve(answer)
    })
  })
}

function computeWait ({ versions, isWhole }: VersionHistory, { deadlineAt, mayForward }: Exchange, now: MonotonicMs): DurationMs {
  if (versions.length > 1) return MIXED_ORIGIN_WAIT_MS
  return isWhole && mayForward ? ORIGIN_WAIT_MS : Math.min(UNSURE_ORIGIN_WAIT_MS, (deadlineAt - now) * UNSURE_ORIGIN_WAIT_FRACTION)
}

/**
 * A stream of which no host knows began at the only version that was in service since it can have begun. Without an answer of the
 * leader, this host and the core hosts that answered may lack a version that has just appeared, so they cannot tell.
 */
function resolveUnknown (history: VersionHistory, { isAnswered, versions }: OriginAnswer): StreamOrigin {
  if (!isAnswered) return { kind: 'unanswered' }
  const possible = new Set([...history.versions, ...versions ?? []])
  if (possible.size > 1) return { kind: 'unknown' }
  if (versions === undefined && !history.isWhole) return { kind: 'unanswered' }
  const [only] = possible
  if (only === undefined) return { kind: 'unknown' }
  return only === '' ? { kind: 'found' } : { kind: 'found', softwareVersion: only }
}

/** Finds the version at which a stream began that the caller resumes, here or at the host that has forwarded the request. */
export async function findOrigin (relay: RelayOptions, exchange: Exchange): Promise<StreamOrigin> {
  const { facts: { resumes }, lastEventId, forwarded, route, pool } = exchange
  if (lastEventId === undefined || route.kind !== RouteKind.STREAM) return { kind: 'found', softwareVersion: exchange.softwareVersion }
  if (forwarded?.softwareVersion !== undefined) return { kind: 'found', softwareVersion: forwarded.softwareVersion }
  const { directory, clock } = relay
  const own = resumes === undefined ? undefined : directory.getOrigin(resumes)
  if (own !== undefined) return { kind: 'found', softwareVersion: own }
  const now = clock.getMonotonicMs()
  const maxAgeMs = route.timeoutMs + ORIGIN_RETENTION_MARGIN_MS
  const history = directory.getVersionHistory(pool.name, maxAgeMs, now)
  if (!history.areVersionsReported) return { kind: 'found' }
  const answer = await queryCoreHosts(relay, exchange, {
    requestId: resumes ?? '',
    pool: pool.name,
    maxAgeMs,
    rounds: resumes === undefined ? 1 : ORIGIN_ROUNDS,
    ownVersions: history.versions,
    areVersionsNeeded: history.versions.length <= 1 && !history.isWhole,
    deadlineAt: now + computeWait(history, exchange, now)
  })
  if (answer.softwareVersion !== undefined) return { kind: 'found', softwareVersion: answer.softwareVersion }
  const current = directory.getVersionHistory(pool.name, maxAgeMs, clock.getMonotonicMs())
  return current.areVersionsReported ? resolveUnknown(current, answer) : { kind: 'found' }
}

/** A peer may know what this host cannot tell. Returns whether it has taken the request. */
async function forwardUndecided (state: RelayState, exchange: Exchange): Promise<boolean> {
  const end = await forwardToPeer({ relay: state.opts, peers: state.peers, exchange, reason: ORIGIN_UNANSWERED.message, tryTakeRetry: () => state.allowance.tryTake(exchange.pool.name) })
  if (exchange.ended !== undefined || end.kind === 'interrupted') return true
  exchange.mayForward = false
  if (end.kind === 'notTaken') return false
  finishForwarded(state, exchange, end)
  return true
}

/** Resolves the software version at which a resumed stream continues. Returns false if it is not to be attempted here: it is answered, or has ended. */
export async function resolveOrigin (state: RelayState, exchange: Exchange): Promise<boolean> {
  let origin = await findOrigin(state.opts, exchange)
  if (exchange.ended !== undefined) return false
  if (origin.kind === 'unanswered' && exchange.mayForward) {
    if (await forwardUndecided(state, exchange)) return false
    // No peer has taken it. A leader may be elected in time.
    origin = await findOrigin(state.opts, exchange)
    if (exchange.ended !== undefined) return false
  }
  const { lastEventId, facts: { requestId, resumes } } = exchange
  const softwareVersion = origin.kind === 'found' ? origin.softwareVersion : undefined
  if (lastEventId !== undefined) {
    state.opts.observer.count('stream_origins', { origin: origin.kind })
    state.opts.logger.info('caller resumes a stream', { step: 'resume', requestId, resumes, origin: origin.kind, softwareVersion })
  }
  if (origin.kind !== 'found') {
    finishWithFailure(state, exchange, origin.kind === 'unknown' ? ORIGIN_UNKNOWN : ORIGIN_UNANSWERED)
    return false
  }
  exchange.softwareVersion = softwareVersion
  if (lastEventId !== undefined && softwareVersion !== undefined) recordResumed(state.opts, exchange, softwareVersion)
  return true
}
