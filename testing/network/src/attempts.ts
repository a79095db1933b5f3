/** Simulates the endpoint drivers: dispatches attempts to the fake endpoints and enforces the same time limits as the real drivers. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { AnswerEcho } from '@catkinferry/core.types'
import type { AttemptStart, HostEvent } from '@catkinferry/host.events'
import type { ClusterState, Connection } from './cluster.ts'
import type { EngineAnswer } from './fakeEngine.ts'
import { CONNECT_TIMEOUT_MS, deliverEvent, sendRequest } from './outputHandlers.ts'
import type { Origin } from './outputHandlers.ts'
import { ANSWER_PARTS } from '@catkinferry/testing.oracle'

function createFailure (start: AttemptStart, message: string): Failure {
  return { code: ErrorCode.ENDPOINT_FAILED, step: 'dispatch', peer: start.endpoint, message }
}

/** Delivers an answer to the host after a network delay, never before an earlier answer of the same connection. */
function deliverInOrder (cluster: ClusterState, connection: Connection, onArrival: () => void): void {
  const [delay] = cluster.faults.pickDelays(connection.endpoint, connection.host)
  if (delay === undefined) return
  const at = Math.max(connection.lastArrivalAt, cluster.scheduler.getNow() + delay)
  connection.lastArrivalAt = at
  cluster.scheduler.add(at - cluster.scheduler.getNow(), () => {
    if (connection.closed) return
    connection.lastAnswerAt = cluster.scheduler.getNow()
    onArrival()
  })
}

function endConnection (cluster: ClusterState, attemptId: string, connection: Connection): void {
  connection.closed = true
  cluster.connections.delete(attemptId)
}

function buildAttemptEvent (start: AttemptStart, answer: EngineAnswer): HostEvent {
  if (answer.kind === 'refused') {
    return { kind: 'attempt.failed', attemptId: start.attemptId, failure: createFailure(start, answer.reason), sent: true, refused: answer.reason }
  }
  if (answer.kind === 'broken') {
    return { kind: 'attempt.failed', attemptId: start.attemptId, failure: createFailure(start, 'connection closed before the answer was complete'), sent: true }
  }
  const echo: AnswerEcho = { attemptId: answer.attemptId, adapter: answer.adapter, version: answer.version }
  if (answer.kind === 'started') return { kind: 'attempt.started', attemptId: start.attemptId, echo, status: 200, contentType: 'text/event-stream' }
  if (answer.kind === 'ended') return { kind: 'attempt.ended', attemptId: start.attemptId, echo, chunks: ANSWER_PARTS }
  return { kind: 'attempt.chunk', attemptId: start.attemptId, echo, index: answer.index, data: answer.data, tokens: 1 }
}

const FINAL_ANSWERS: ReadonlySet<EngineAnswer['kind']> = new Set(['refused', 'broken', 'ended'])

function handleEngineAnswer (origin: Origin, start: AttemptStart, connection: Connection, answer: EngineAnswer): void {
  deliverInOrder(origin.cluster, connection, () => {
    if (FINAL_ANSWERS.has(answer.kind)) endConnection(origin.cluster, start.attemptId, connection)
    deliverEvent(origin, buildAttemptEvent(start, answer))
  })
}

function handleServiceAnswer (origin: Origin, start: AttemptStart, connection: Connection, body: string | undefined): void {
  const { attemptId } = start
  deliverInOrder(origin.cluster, connection, () => {
    endConnection(origin.cluster, attemptId, connection)
    if (body === undefined) {
      deliverEvent(origin, { kind: 'attempt.failed', attemptId, failure: createFailure(start, 'connection closed before the answer was complete'), sent: true })
      return
    }
    const echo = { attemptId }
    deliverEvent(origin, { kind: 'attempt.started', attemptId, echo, status: 200, contentType: 'text/plain' })
    deliverEvent(origin, { kind: 'attempt.chunk', attemptId, echo, index: 0, data: body, tokens: 0 })
    deliverEvent(origin, { kind: 'attempt.ended', attemptId, echo, chunks: 1 })
  })
}

function submitToEndpoint (origin: Origin, start: AttemptStart, connection: Connection): void {
  const { cluster } = origin
  const { work, endpoint, attemptId } = start
  const token = cluster.callers.find(start.requestId)?.token ?? `gone:${start.requestId}`
  if (work.kind === 'service') {
    cluster.services.get(endpoint)?.submit({
      attemptId,
      token,
      content: work.body,
      answer: answer => handleServiceAnswer(origin, start, connection, answer.kind === 'done' ? answer.body : undefined)
    })
    return
  }
  cluster.engines.get(endpoint)?.submit({
    attemptId,
    adapter: work.adapter,
    version: work.version ?? 'none',
    token,
    content: String(work.body['prompt']),
    resumeFrom: start.resumeFrom ?? 0,
    answer: answer => handleEngineAnswer(origin, start, connection, answer)
  })
}

/** Polls until the connection closes; fails the attempt when it makes no progress or exceeds its time limit. */
function checkAttemptTimeouts (origin: Origin, start: AttemptStart, connection: Connection): void {
  const { cluster, host } = origin
  if (connection.closed) return
  const localNow = cluster.hosts.get(host)?.getLocalNow() ?? Infinity
  const silentMs = cluster.scheduler.getNow() - connection.lastAnswerAt
  if (localNow < start.endBeforeMs && silentMs < start.progressTimeoutMs) {
    cluster.scheduler.add(CONNECT_TIMEOUT_MS, () => checkAttemptTimeouts(origin, start, connection))
    return
  }
  endConnection(cluster, start.attemptId, connection)
  if (!cluster.faults.isCut(host, start.endpoint)) {
    cluster.engines.get(start.endpoint)?.cancel(start.attemptId)
    cluster.services.get(start.endpoint)?.cancel(start.attemptId)
  }
  deliverEvent(origin, { kind: 'attempt.failed', attemptId: start.attemptId, failure: createFailure(start, 'attempt made no progress or exceeded its time limit'), sent: true })
}

/** Executes an `attempt.start`. Reads the clock again before the first byte, because the host may have been paused since it decided to send. */
export function startAttempt (origin: Origin, start: AttemptStart): void {
  const { cluster, host } = origin
  const { attemptId, endpoint } = start
  const localNow = cluster.hosts.get(host)?.getLocalNow() ?? Infinity
  if (localNow > start.sendBeforeMs) {
    deliverEvent(origin, { kind: 'attempt.failed', attemptId, failure: createFailure(start, 'grant expired before the request was sent'), sent: false })
    return
  }
  const now = cluster.scheduler.getNow()
  const connection: Connection = { host, incarnation: origin.incarnation, endpoint, lastArrivalAt: now, lastAnswerAt: now, closed: false }
  cluster.connections.set(attemptId, connection)
  sendRequest(origin, endpoint, () => {
    if (connection.closed) return
    submitToEndpoint(origin, start, connection)
    cluster.scheduler.add(CONNECT_TIMEOUT_MS, () => checkAttemptTimeouts(origin, start, connection))
  }, () => {
    if (connection.closed) return
    endConnection(cluster, attemptId, connection)
    deliverEvent(origin, { kind: 'attempt.failed', attemptId, failure: createFailure(start, 'cannot connect to the endpoint'), sent: false })
  })
}
