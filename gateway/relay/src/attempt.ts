/** Sends a request to one endpoint and says for certain what became of it there. */
import { request } from 'node:http'
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { parseAddress } from '@catkinferry/core.types'
import type { MonotonicMs } from '@catkinferry/core.types'
import { CONNECT_TIMEOUT_MS } from './constants.ts'
import type { AnswerFacts } from './dialect.ts'
import type { Exchange, HeldAnswer, Target } from './exchange.ts'
import { takeEndToEnd } from './headers.ts'
import { sendAnswer } from './sendAnswer.ts'
import type { RelayOptions } from './relayOptions.ts'

export type AttemptEnd =
  /** The caller has the whole answer. */
  | { readonly kind: 'delivered', readonly status: number, readonly bytes: number }
  /** It did not run there, for certain. `isAnswered`: the endpoint said so itself; `isMissing`: it lacks the adapter or is another one. */
  | { readonly kind: 'notRun', readonly reason: string, readonly isAnswered: boolean, readonly isMissing: boolean }
  /** It ran and the endpoint answered with a failure. */
  | { readonly kind: 'failed', readonly answer: HeldAnswer }
  /** It was sent and no whole answer came: it may have run. */
  | { readonly kind: 'lost', readonly reason: string }
  /** The exchange itself has ended. */
  | { readonly kind: 'interrupted' }

export interface Attempt {
  readonly exchange: Exchange
  readonly target: Target
  readonly request: ClientRequest
  readonly settle: (end: AttemptEnd) => void
  readonly getNow: () => MonotonicMs
  /** Whether the answer that has ended is whole. */
  readonly isWhole: () => boolean
  /** Takes the answer's head. */
  readonly noteHead: (facts: AnswerFacts) => void
}

export interface SendOptions {
  readonly relay: RelayOptions
  readonly exchange: Exchange
  readonly target: Target
  readonly onHead: (facts: AnswerFacts) => void
  /** Called with each part of the answer, its head included. */
  readonly onBytes: () => void
}

/** HTTP status of an endpoint that lacks the adapter or is another one. */
const MISDIRECTED = 421

function buildHeaders ({ relay, exchange, target }: SendOptions): string[] {
  const { dialect, clock } = relay
  const { req, route, facts, endAt, body, lastEventId } = exchange
  const own = dialect.buildHeaders({
    endpoint: target.endpoint,
    remainingMs: Math.max(1, Math.floor(endAt - clock.getMonotonicMs())),
    priority: route.priority,
    hasModel: facts.model !== undefined,
    version: target.version,
    lastEventId
  })
  const hasBody = body.length > 0 || req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
  const dropped = new Set([...dialect.ownHeaders, 'content-length'])
  const headers = [...takeEndToEnd(req.rawHeaders, dropped), ...own]
  if (hasBody) headers.push('Content-Length', String(body.length))
  return headers
}

/** Sends the request. Resolves once; never rejects. */
export function sendAttempt (opts: SendOptions): Promise<AttemptEnd> {
  const { exchange, target: { link } } = opts
  const { req, body } = exchange
  return new Promise(resolve => {
    let settled = false
    let connected = false
    let socketFailed = false
    let socketInUse: Socket | undefined
    const onSocketError = (): void => { socketFailed = true }
    const outgoing = request({ ...parseAddress(link.address), agent: link.agent, method: req.method, path: req.url, headers: buildHeaders(opts), setHost: false })
    const connectTimer = setTimeout(() => { if (!connected) fail('no connection was established in time') }, CONNECT_TIMEOUT_MS)

    function settle (end: AttemptEnd): void {
      if (settled) return
      settled = true
      clearTimeout(connectTimer)
      socketInUse?.off('error', onSocketError)
      exchange.interrupt = undefined
      resolve(end)
    }

    function fail (reason: string): void {
      settle(connected ? { kind: 'lost', reason } : { kind: 'notRun', reason, isAnswered: false, isMissing: false })
      outgoing.destroy()
    }

    exchange.interrupt = () => {
      settle({ kind: 'interrupted' })
      outgoing.destroy()
    }
    outgoing.on('socket', socket => {
      // Before the parser takes the end of a broken connection for the end of an answer without a length.
      socketInUse = socket
      socket.prependListener('error', onSocketError)
      const onConnected = (): void => {
        connected = true
        clearTimeout(connectTimer)
        socket.setNoDelay(true)
        // Written only now: before, a failure proves that nothing has left.
        if (!settled) outgoing.end(body)
      }
      if (socket.connecting) socket.once('connect', onConnected)
      else onConnected()
    })
    outgoing.on('error', error => fail(error.message))
    outgoing.on('close', () => fail('the connection was closed'))
    outgoing.on('response', answer => {
      receiveAnswer({ exchange, target: opts.target, request: outgoing, settle, noteHead: opts.onHead, getNow: opts.relay.clock.getMonotonicMs, isWhole: () => answer.complete && !socketFailed }, answer, opts)
    })
  })
}

function receiveAnswer (attempt: Attempt, answer: IncomingMessage, { relay, onBytes }: SendOptions): void {
  const { exchange, target, settle } = attempt
  const status = answer.statusCode ?? 0
  const facts = relay.dialect.readAnswer(answer.headers, status)
  answer.on('error', () => undefined)
  onBytes()
  if (facts.requestId !== undefined && facts.requestId !== exchange.facts.requestId) {
    settle({ kind: 'lost', reason: 'the answer of another request came' })
    attempt.request.destroy()
    return
  }
  attempt.noteHead(facts)
  if (facts.notRun) {
    answer.resume()
    settle({ kind: 'notRun', reason: `the endpoint answered ${status}`, isAnswered: true, isMissing: status === MISDIRECTED })
    return
  }
  if (status < 300 && !facts.isSigned) {
    settle({ kind: 'lost', reason: `an answer ${status} without the endpoint's mark came` })
    attempt.request.destroy()
    return
  }
  answer.on('data', onBytes)
  sendAnswer(attempt, answer, target.endpoint)
}
