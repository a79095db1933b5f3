/** One attempt of a request at an endpoint: the relay calls it for each endpoint that it has chosen. Records what the attempt tells of the endpoint, of its load and of this host's paths. */
import { ResponseProgress } from '@catkinferry/fleet.directory'
import { recordLimit, recordNotices } from './announcements.ts'
import { MISDIRECTED, sendAttempt } from './attempt.ts'
import type { AttemptEnd, SendOptions } from './attempt.ts'
import { MIN_REMAINING_MS, STALL_MS } from './constants.ts'
import { BREAKER_LIMITS, recordBytes, recordEnded, recordFirstByte, recordSent, setIdleTimeout } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import { EndReason } from './exchange.ts'
import type { Exchange, LiveAttempt, Target } from './exchange.ts'
import { mayEndInTime } from './lateRequests.ts'
import type { LogFields, RelayState } from './relayState.ts'
import { createResponseProgress, recordCrashSigns } from './responseProgress.ts'
import { recordOrigin } from './streamOrigin.ts'

export interface AttemptOptions extends Pick<SendOptions, 'onBegin' | 'onSent'> {
  readonly target: Target
  readonly logFields: LogFields
}

/** A host that has forwarded the request repeats it if this one is killed, unless it was told that this one went beyond the first endpoint. */
function reportFurtherEndpoint ({ forwarded, tried, res }: Exchange): void {
  if (forwarded?.furtherEndpoints !== undefined && tried.size >= forwarded.maxEndpoints && !res.headersSent) res.writeProcessing()
}

/** Sends a request to an endpoint and records how that ended. */
export async function runAttempt (state: RelayState, exchange: Exchange, { target, logFields, onBegin, onSent }: AttemptOptions): Promise<AttemptEnd> {
  const { opts } = state
  const { link, endpoint, adapterKey, version, softwareVersion } = target
  const sentAt = opts.clock.getMonotonicMs()
  opts.logger.info('sending request to endpoint', {
    step: 'offer', requestId: exchange.facts.requestId, peer: endpoint, route: exchange.route.name, account: exchange.account?.name, routesVersion: exchange.routesVersion, adapter: adapterKey, version, softwareVersion, promptParts: exchange.facts.promptParts, digest: exchange.digest, ...logFields, waitedMs: Math.round(sentAt - exchange.arrivedAt), remainingMs: Math.round(exchange.deadlineAt - sentAt)
  })
  reportFurtherEndpoint(exchange)
  exchange.offered = true
  const isBeside = exchange.live.size > 0
  if (!isBeside) exchange.firstByteMs = undefined
  let hasHead = false
  recordSent(link, sentAt)
  state.limits.recordSent(target, sentAt)
  const isProbe = link.breaker.recordSent(sentAt)
  opts.directory.recordBegun(endpoint, adapterKey ?? '')
  state.finder.recordSent(exchange, target)
  let live: LiveAttempt | undefined
  const progress = createResponseProgress(opts.directory, exchange.traits)
  const end = await sendAttempt({
    relay: opts,
    exchange,
    target,
    onBegin: attempt => {
      live = attempt
      onBegin?.(attempt)
    },
    onSent,
    onBytes: () => {
      const now = opts.clock.getMonotonicMs()
      recordBytes(link, now)
      state.paths.recordHeard()
      progress.recordChunk(now)
      if (live !== undefined) live.isSound = progress.get() === ResponseProgress.SOUND
    },
    onResponse: (facts, response) => {
      recordNotices({ ...state, relay: opts }, target, facts, response)
      if (facts.requestId === exchange.facts.requestId && response.statusCode !== MISDIRECTED) recordLimit({ ...state, relay: opts }, target, facts, sentAt)
    },
    onEvent: () => recordOrigin(opts, exchange, target),
    isInDoubt: state.paths.isInDoubt(opts.directory.listEndpoints(exchange.pool.name).map(row => row.endpoint)),
    mayStillSend: () => {
      const now = opts.clock.getMonotonicMs()
      const isFirst = !isBeside && exchange.tried.size === 0
      return exchange.deadlineAt - now >= MIN_REMAINING_MS && state.notices.isOpen(target, now) && (!isFirst || mayEndInTime(state, exchange))
    },
    onHead: ({ load, keepAliveMs }) => {
      const now = opts.clock.getMonotonicMs()
      progress.recordHead(now)
      recordFirstByte(link, now - sentAt)
      if (target.hasFreeSlot !== false) state.firstByteTimes.record(exchange.pool.name, now - sentAt)
      hasHead = true
      if (!isBeside) exchange.firstByteMs = Math.round(now - exchange.arrivedAt)
      setIdleTimeout(link, keepAliveMs)
      opts.observer.time('first_byte_ms', now - sentAt)
      if (load !== undefined) link.reportedLoad = { load, inFlight: link.inFlight, at: now }
    }
  })
  const isStalled = link.silent && link.awaitingSince !== undefined && opts.clock.getMonotonicMs() - link.awaitingSince > STALL_MS
  recordEnded(link)
  const runMs = opts.clock.getMonotonicMs() - sentAt
  if (end.kind === 'delivered') {
    state.runEstimates.record(exchange.route.name, runMs)
    if (target.hasFreeSlot === true) state.runTimes.record(exchange.pool.name, runMs)
    state.finder.recordDelivered(exchange, target, { runMs, bytes: end.bytes })
  }
  if (end.kind === 'interrupted' && exchange.ended === EndReason.TIMEOUT) state.runEstimates.recordUnfinished(exchange.route.name, runMs)
  opts.directory.recordEnded(endpoint, adapterKey ?? '')
  if (end.kind === 'notRun' && end.isAnswered && !end.isMisdirected) state.limits.recordRejected(target, opts.clock.getMonotonicMs())
  const endedAt = opts.clock.getMonotonicMs()
  const onTrouble = (): void => recordCrashSigns({ relay: opts, target, traits: exchange.traits, progress: progress.get(), end, endedAt })
  if (!isPathTrouble(end)) onTrouble()
  recordAttemptEnd(state, exchange, { ...target, isProbe, hasHead, isStalled, onTrouble }, end)
  return end
}

/** Whether an attempt ended in a way that a failed path explains as well as a failed endpoint. */
function isPathTrouble (end: AttemptEnd): boolean {
  return (end.kind === 'notRun' && !end.isAnswered) || (end.kind === 'lost' && end.isBroken !== undefined)
}

/** `isProbe`: the attempt is the one that decides on the endpoint's open breaker. `hasHead`: a response had begun. `isStalled`: the endpoint had been silent for long when it ended. `onTrouble`: called once the endpoint is known to have caused the trouble. */
interface EndedTarget extends Target {
  readonly isProbe: boolean
  readonly hasHead: boolean
  readonly isStalled: boolean
  readonly onTrouble: () => void
}

function recordAttemptEnd (state: RelayState, exchange: Exchange, { link, endpoint, adapterKey, isProbe, hasHead, isStalled, onTrouble }: EndedTarget, end: AttemptEnd): void {
  const { opts } = state
  const now = opts.clock.getMonotonicMs()
  opts.observer.count('attempts', { end: end.kind })
  if (end.kind === 'delivered') link.breaker.recordSuccess(now, BREAKER_LIMITS)
  else if (end.kind === 'withheld') link.breaker.recordCancelled(isProbe)
  else if (end.kind === 'interrupted') recordInterruption(state, { link, isProbe, hasHead, isStalled })
  else if (end.kind === 'notRun' && end.isMisdirected) {
    link.breaker.recordCancelled(isProbe)
    if (adapterKey !== undefined) opts.directory.dropResident(endpoint, adapterKey)
  } else recordFailure(state, link, end, onTrouble)
  if (end.kind === 'notRun' && !end.isAnswered) exchange.hasUnreached = true
  if (end.kind === 'notRun') {
    exchange.refusedBy.add(endpoint)
    exchange.tried.delete(endpoint)
  } else if (end.kind !== 'withheld') exchange.tried.add(endpoint)
  exchange.offered = exchange.tried.size > 0 || exchange.live.size > 0
}

function recordFailure ({ opts, paths }: RelayState, link: EndpointLink, end: AttemptEnd, onTrouble: () => void): void {
  const report = (): void => {
    link.breaker.recordFailure(opts.clock.getMonotonicMs(), BREAKER_LIMITS)
    if (end.kind !== 'notRun') opts.directory.recordFailed(link.endpoint)
  }
  if (!isPathTrouble(end)) report()
  else if (end.kind === 'notRun') paths.recordUnreachable(link, onTrouble)
  else {
    paths.recordTrouble(link.endpoint, () => {
      report()
      onTrouble()
    })
  }
}

/** An attempt ended by disconnect or deadline counts as a failure of the endpoint if it was silent for long and no response had begun. */
function recordInterruption ({ opts, paths }: RelayState, { link, isProbe, hasHead, isStalled }: Pick<EndedTarget, 'link' | 'isProbe' | 'hasHead' | 'isStalled'>): void {
  link.breaker.recordCancelled(isProbe)
  if (!hasHead && isStalled) paths.recordTrouble(link.endpoint, () => opts.directory.recordFailed(link.endpoint))
}
