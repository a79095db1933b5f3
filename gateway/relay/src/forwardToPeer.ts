/**
 * Forwards a request to another entry host when this one cannot serve it. The peer relays it as one of its own callers' requests,
 * and never forwards it again. The relay calls this in place of an attempt at an endpoint.
 */
import type { MonotonicMs } from '@catkinferry/core.types'
import { sendAttempt } from './attempt.ts'
import type { AttemptEnd } from './attempt.ts'
import { MAX_PEERS_PER_REQUEST, SOUND_RESPONSE_MS } from './constants.ts'
import { recordBytes, recordEnded, recordSent } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import { countEndpointsLeft, isRetryable } from './exchange.ts'
import type { Exchange, LiveAttempt } from './exchange.ts'
import { PeerOutcome } from './forwardedRequest.ts'
import type { RelayOptions } from './relayOptions.ts'
import type { PeerLinks } from './relayPeers.ts'

export type ForwardEnd =
  | Exclude<AttemptEnd, { kind: 'notRun' | 'withheld' }>
  /** No peer takes it. It has not run. */
  | { readonly kind: 'notTaken' }

/** How a request ended that a peer has taken. */
export type TakenEnd = Exclude<ForwardEnd, { kind: 'notTaken' | 'interrupted' }>

/** Whether the request certainly has not run at the peer, and another host may serve it. */
function isDeclined (end: AttemptEnd): end is Extract<AttemptEnd, { kind: 'notRun' | 'withheld' }> | (Extract<AttemptEnd, { kind: 'peerAnswered' }> & { readonly outcome: typeof PeerOutcome.DECLINED }) {
  return end.kind === 'notRun' || end.kind === 'withheld' || (end.kind === 'peerAnswered' && end.outcome === PeerOutcome.DECLINED)
}

interface PeerAttemptEnd {
  readonly end: AttemptEnd
  /** Endpoints that may have run the request there. */
  readonly used: number
  /** The peer ended the connection before its response began and before it went beyond the first endpoint. */
  readonly isLostEarly: boolean
}

/** A peer that was killed, or ended by this host, has used one endpoint unless it said more, which arrives before the end of its connection. Any other may have used all that were left. */
function describePeerEnd (exchange: Exchange, end: AttemptEnd, hasAnnounced: boolean): PeerAttemptEnd {
  const left = countEndpointsLeft(exchange)
  const isLostEarly = end.kind === 'lost' && end.isBroken === true && !hasAnnounced
  if (isDeclined(end) || (end.kind === 'peerAnswered' && end.outcome === PeerOutcome.REFUSED)) return { end, used: 0, isLostEarly }
  const isWithinFirst = isLostEarly || (end.kind === 'interrupted' && !hasAnnounced)
  return { end, used: isWithinFirst ? Math.min(left, 1) : left, isLostEarly }
}

function recordUsed (exchange: Exchange, { endpoint }: EndpointLink, used: number): void {
  if (used === 0) return
  exchange.tried.add(endpoint)
  exchange.route = { ...exchange.route, maxEndpoints: exchange.route.maxEndpoints - used + 1 }
}

async function sendToPeer (relay: RelayOptions, exchange: Exchange, link: EndpointLink): Promise<PeerAttemptEnd> {
  const { clock } = relay
  recordSent(link, clock.getMonotonicMs())
  exchange.offered = true
  const isBeside = exchange.live.size > 0
  if (!isBeside) exchange.firstByteMs = undefined
  let attempt: LiveAttempt | undefined
  let headAt: MonotonicMs | undefined
  let hasFurther = false
  const end = await sendAttempt({
    relay,
    exchange,
    target: { endpoint: link.endpoint, link, isPeer: true },
    onBegin: live => { attempt = live },
    onBytes: () => {
      const now = clock.getMonotonicMs()
      recordBytes(link, now)
      if (attempt !== undefined && headAt !== undefined) attempt.isSound = now - headAt >= SOUND_RESPONSE_MS
    },
    onResponse: () => undefined,
    onEvent: () => undefined,
    onFurther: () => { hasFurther = true },
    mayStillSend: () => true,
    isInDoubt: false,
    onHead: () => {
      headAt = clock.getMonotonicMs()
      if (!isBeside) exchange.firstByteMs = Math.round(headAt - exchange.arrivedAt)
    }
  })
  recordEnded(link)
  exchange.offered = exchange.tried.size > 0 || exchange.live.size > 0
  return describePeerEnd(exchange, end, hasFurther || headAt !== undefined)
}

function describeDeclined (end: AttemptEnd): string | undefined {
  if (end.kind === 'peerAnswered') return end.response.body.toString()
  return 'reason' in end ? end.reason : undefined
}

export interface ForwardOptions {
  readonly relay: RelayOptions
  readonly peers: PeerLinks
  readonly exchange: Exchange
  readonly reason: string
  /** Takes one retry from the allowance; false if it is used up. */
  readonly tryTakeRetry: () => boolean
  /** Whether to ask another peer after one that did not take the request; always by default. */
  readonly isWanted?: () => boolean
}

/** Whether another peer may be asked after one that took the request. */
function mayRepeat ({ exchange, tryTakeRetry }: ForwardOptions, { isLostEarly }: PeerAttemptEnd): boolean {
  return isLostEarly && isRetryable(exchange) && countEndpointsLeft(exchange) > 0 && tryTakeRetry()
}

/** Whether the peer has refused a request that an attempt here has begun: it says only that it has not run it. */
export function isRefusedAfterAttempt ({ tried, headSent }: Exchange, end: TakenEnd): boolean {
  return end.kind === 'peerAnswered' && end.outcome === PeerOutcome.REFUSED && (headSent || tried.size > 0)
}

/** Asks peers one after the other until one takes the request. */
export async function forwardToPeer (opts: ForwardOptions): Promise<ForwardEnd> {
  const { relay, peers, exchange, reason, isWanted = () => true } = opts
  const { requestId } = exchange.facts
  const asked = new Set<string>()
  let lost: ForwardEnd | undefined
  while (asked.size < MAX_PEERS_PER_REQUEST) {
    const link = peers.choose(asked)
    if (link === undefined) break
    asked.add(link.address)
    relay.logger.info('forwarding request to a peer', { step: 'forward', requestId, peer: link.address, reason, route: exchange.route.name, account: exchange.account?.name, digest: exchange.digest, tried: [...exchange.tried], waitedMs: Math.round(relay.clock.getMonotonicMs() - exchange.arrivedAt) })
    const peerEnd = await sendToPeer(relay, exchange, link)
    const { end } = peerEnd
    relay.observer.count('forwards', { end: end.kind === 'peerAnswered' ? end.outcome : end.kind })
    // A peer refuses by its own route table and load; one that has begun is lost unless another host goes on with it.
    const isRefused = end.kind === 'peerAnswered' && isRefusedAfterAttempt(exchange, end)
    if (!isDeclined(end) && !isRefused) {
      recordUsed(exchange, link, peerEnd.used)
      if (!mayRepeat(opts, peerEnd)) return end
      lost = end
    }
    if (isRefused) {
      // This host may still find an endpoint for it.
      lost = undefined
    } else {
      peers.pause(link)
      relay.logger.info('peer did not take the request', { step: 'forward', requestId, peer: link.address, reason: describeDeclined(end) })
    }
    if (exchange.ended !== undefined || !isWanted()) return { kind: 'interrupted' }
  }
  return lost ?? { kind: 'notTaken' }
}
