/** Handles the owners' replies to grant requests, and their queries for attempts that run at an endpoint. */
import { ErrorCode } from '@catkinferry/core.errors'
import { MAX_CLOCK_DRIFT_FRACTION } from '@catkinferry/core.constants'
import type { DurationMs, HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantMessage, GrantRefusal } from '@catkinferry/wire.messages'
import { avoidEndpoint, bindEndpoint, cancelGrantRequest, dropGrantRequest } from './attemptRows.ts'
import type { Core } from './core.ts'
import { dispatchAttempt } from './dispatch.ts'
import { failRequest } from './failing.ts'
import { queueRequest, resendGrantRequest } from './placing.ts'
import type { AttemptRow, RequestsMessage } from './types.ts'

type Given = Extract<GrantMessage, { kind: 'grant.given' }>
type Refused = Extract<GrantMessage, { kind: 'grant.refused' }>
type AskActive = Extract<GrantMessage, { kind: 'grant.askActive' }>

/** A request fails after this many grant refusals with the reason `deadline`. */
const MAX_DEADLINE_REFUSALS = 2

/** Time for which a request avoids the endpoint, by reason of refusal, if the owner gives no time itself. */
const REFUSAL_AVOID_MS: Readonly<Record<GrantRefusal, DurationMs>> = {
  notOwner: 50,
  leaving: Number.POSITIVE_INFINITY,
  full: 100,
  deadline: 1_000,
  loadFailed: 2_000,
  noLease: 250,
  unknownEndpoint: 1_000,
  takingOver: 250
}

function handleGiven (core: Core, from: HostId, message: Given, context: RunContext): void {
  const attempt = core.attempts.get(message.attemptId)
  const isPending = attempt?.state === 'asking' && (attempt.endpoint === undefined || attempt.endpoint === message.endpoint)
  if (attempt === undefined || !isPending) {
    const isRunning = attempt?.state === 'running' && attempt.endpoint === message.endpoint
    if (!isRunning) context.send(from, { kind: 'grant.release', attemptId: message.attemptId, endpoint: message.endpoint, ran: false, runMs: 0 })
    return
  }
  const usableMs = (message.heldMs + message.startWithinMs) * (1 - MAX_CLOCK_DRIFT_FRACTION)
  const sendBeforeMs = attempt.askedAt + usableMs
  if (context.now >= sendBeforeMs) {
    releaseLateGrant(core, attempt, from, message, context)
    return
  }
  // A contact in another zone chooses the owner, so the granting host may differ from the host that received the request.
  attempt.owner = from
  attempt.url = message.url ?? attempt.url
  bindEndpoint(core, attempt, message.endpoint)
  dispatchAttempt(core, attempt, { sendBeforeMs, loadStallMs: message.loadStallMs }, context)
}

/** Releases a grant that arrived too late to be used, and queues the request again. */
function releaseLateGrant (core: Core, attempt: AttemptRow, from: HostId, message: Given, context: RunContext): void {
  context.send(from, { kind: 'grant.release', attemptId: attempt.grantId, endpoint: message.endpoint, ran: false, runMs: 0 })
  core.log.add(attempt.row.request.requestId, context.now, 'grant', 'arrived too late to be used', { endpoint: message.endpoint, heldMs: message.heldMs })
  dropGrantRequest(core, attempt)
  avoidEndpoint(attempt.row, message.endpoint, context.now + REFUSAL_AVOID_MS.full)
  queueRequest(core, attempt.row, context)
}

function handleRefused (core: Core, from: HostId, message: Refused, context: RunContext): void {
  const attempt = core.attempts.get(message.attemptId)
  if (attempt?.state !== 'asking') return
  const { row } = attempt
  const endpoint = message.endpoint ?? attempt.endpoint
  core.log.add(row.request.requestId, context.now, 'grant', `refused: ${message.reason}`, { endpoint, owner: from, retryAfterMs: message.retryAfterMs })
  context.emit({ kind: 'metric', type: 'count', name: 'grants.refused', value: 1, tags: { reason: message.reason } })
  dropGrantRequest(core, attempt)
  avoidEndpoint(row, endpoint, context.now + (message.retryAfterMs ?? REFUSAL_AVOID_MS[message.reason]))
  row.lastReason = `grant refused: ${message.reason}`
  if (message.reason === 'deadline') row.deadlineRefusals += 1
  if (row.deadlineRefusals >= MAX_DEADLINE_REFUSALS) {
    failRequest(core, row, {
      code: ErrorCode.DEADLINE,
      message: 'the deadline cannot be met',
      step: 'grant',
      peer: from,
      retryAfterMs: message.retryAfterMs
    }, context)
    return
  }
  queueRequest(core, row, context)
}

function handleAskActive (core: Core, from: HostId, message: AskActive, context: RunContext): void {
  const { endpoint, fencing } = message
  const active = []
  for (const attempt of core.byEndpoint.get(endpoint) ?? []) {
    if (attempt.state === 'asking') continue
    active.push({ attemptId: attempt.grantId, adapterKey: attempt.row.target.adapterKey, remainingMs: Math.max(0, attempt.endBeforeAt - context.now) })
  }
  context.send(from, { kind: 'grant.active', endpoint, fencing, active })
}

type Handlers = { readonly [Kind in RequestsMessage['kind']]: (core: Core, from: HostId, message: Extract<RequestsMessage, { kind: Kind }>, context: RunContext) => void }

const HANDLERS: Handlers = {
  'grant.given': handleGiven,
  'grant.refused': handleRefused,
  'grant.askActive': handleAskActive
}

/** Handles one message from an owner of endpoints. */
export function receiveGrantMessage (core: Core, from: HostId, message: RequestsMessage, context: RunContext): void {
  const handler = HANDLERS[message.kind] as (core: Core, from: HostId, message: RequestsMessage, context: RunContext) => void
  handler(core, from, message, context)
}

/** Cancels a pending grant request whose endpoint changed owner or whose owner did not reply in time, and queues the request again. */
export function checkGrantRequest (core: Core, attempt: AttemptRow, recheckMs: DurationMs, context: RunContext): void {
  const { now } = context
  const view = attempt.endpoint === undefined ? undefined : core.opts.zone.getEndpoint(attempt.endpoint)
  const isMoved = attempt.endpoint !== undefined && (view === undefined || view.leaving || view.owner !== attempt.owner)
  if (!isMoved && now < attempt.giveUpAt) {
    if (now >= attempt.resendAt) resendGrantRequest(core, attempt, context)
    core.attemptChecks.set(attempt.grantId, now + recheckMs)
    return
  }
  const { row } = attempt
  core.log.add(row.request.requestId, now, 'grant', isMoved ? 'the owner changed' : 'no reply from the owner', { endpoint: attempt.endpoint, owner: attempt.owner })
  cancelGrantRequest(core, attempt, context)
  if (!isMoved) avoidEndpoint(row, attempt.endpoint, now + REFUSAL_AVOID_MS.deadline)
  queueRequest(core, row, context)
}
