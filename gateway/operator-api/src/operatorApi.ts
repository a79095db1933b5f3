/**
 * HTTP API for operators: `POST /operator/v1/<kind>` with the fields of the request as JSON. Each request is authenticated,
 * validated and submitted to the host core, whose reply is the response. The daemon creates it at start.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import type { OperatorIdentity, OperatorCall, OperatorReply } from '@catkinferry/core.types'
import type { HostEvent } from '@catkinferry/host.events'
import type { AuthenticatedOperator, OperatorTokens } from './operatorTokens.ts'
import { hasRole, OPERATOR_CALL_RULES } from './questionSchema.ts'

export interface OperatorApiOptions {
  readonly emit: (event: HostEvent) => void
  readonly logger: Logger
  /** Undefined only if the settings file allows operators without tokens; everyone is then `local` with the role `admin`. */
  readonly tokens?: OperatorTokens
}

export interface OperatorApi {
  readonly handle: RequestListener
  readonly receiveReply: (opId: string, reply: OperatorReply) => void
}

type FailedReply = Extract<OperatorReply, { ok: false }>

const PATH_PREFIX = '/operator/v1/'
const MAX_BODY_BYTES = 4 * 1024 * 1024
const BEARER = /^Bearer (\S+)$/i
/** Limit on concurrent token checks; each takes about 50 ms of one thread. */
const MAX_CONCURRENT_CHECKS = 4
/** How long to wait for a reply beyond the deadline of the request. */
const REPLY_MARGIN_MS = 2_000
/** How long to wait for a reply to a request without a deadline. */
const READ_TIMEOUT_MS = 15_000
const LOCAL_OPERATOR: AuthenticatedOperator = { name: 'local', role: 'admin' }

const STATUSES: Readonly<Partial<Record<ErrorCode, number>>> = {
  [ErrorCode.BAD_REQUEST]: 400,
  [ErrorCode.BAD_ARGUMENT]: 400,
  [ErrorCode.BAD_SETTINGS]: 400,
  [ErrorCode.UNAUTHENTICATED]: 401,
  [ErrorCode.FORBIDDEN]: 403,
  [ErrorCode.NOT_FOUND]: 404,
  [ErrorCode.UNKNOWN_ADAPTER]: 404,
  [ErrorCode.METHOD_NOT_ALLOWED]: 405,
  [ErrorCode.CONFLICT]: 409,
  [ErrorCode.TOO_LARGE]: 413,
  [ErrorCode.OVER_LIMIT]: 429,
  [ErrorCode.NO_QUORUM]: 503,
  [ErrorCode.NOT_SERVING]: 503,
  [ErrorCode.DISK_FAILED]: 503,
  [ErrorCode.SHUTTING_DOWN]: 503,
  [ErrorCode.OUTCOME_UNKNOWN]: 504
}

function sendReply (res: ServerResponse, reply: OperatorReply): void {
  const status = reply.ok ? 200 : reply.outcome === 'unknown' ? 504 : STATUSES[reply.failure.code] ?? 500
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(reply))
}

function buildRefusal (code: ErrorCode, message: string, hint?: string): FailedReply {
  return { ok: false, outcome: 'refused', failure: { code, message, step: 'operator.api', hint } }
}

async function readBody (req: IncomingMessage): Promise<string | undefined> {
  const parts: Buffer[] = []
  let bytes = 0
  for await (const part of req) {
    bytes += (part as Buffer).length
    if (bytes > MAX_BODY_BYTES) return undefined
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts).toString('utf8')
}

function parseOperatorCall (kind: string, body: string): { readonly call: OperatorCall } | FailedReply {
  const rule = OPERATOR_CALL_RULES[kind as OperatorCall['kind']]
  let json: unknown
  try {
    json = body === '' ? {} : JSON.parse(body)
  } catch (error) {
    return buildRefusal(ErrorCode.BAD_REQUEST, `the body is not JSON: ${(error as Error).message}`)
  }
  const parsed = rule.schema.safeParse(json)
  if (parsed.success) return { call: { kind, ...parsed.data as object } as OperatorCall }
  const message = parsed.error.issues.map(issue => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`).join('; ')
  return buildRefusal(ErrorCode.BAD_REQUEST, message)
}

/** Builds the reply to a request that the host core did not answer in time; only a change can have an unknown outcome. */
function buildTimeout (call: OperatorCall): FailedReply {
  const isChange = 'changeId' in call
  const failure: Failure = {
    code: isChange ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_QUORUM,
    message: 'timed out waiting for the reply of the host core',
    step: 'operator.wait',
    hint: isChange ? `send it again with the same change id ${call.changeId}` : 'retry, or send the request to another host'
  }
  return { ok: false, outcome: isChange ? 'unknown' : 'refused', failure }
}

/** Creates the API. The HTTP server calls `handle`; the shell passes the replies of the host core to `receiveReply`. */
export function createOperatorApi (opts: OperatorApiOptions): OperatorApi {
  const idPrefix = randomBytes(5).toString('hex')
  const pendingReplies = new Map<string, (reply: OperatorReply) => void>()
  let submitted = 0
  let activeChecks = 0

  async function authenticate (req: IncomingMessage): Promise<AuthenticatedOperator | FailedReply> {
    if (opts.tokens === undefined) return LOCAL_OPERATOR
    const token = BEARER.exec(req.headers.authorization ?? '')?.[1]
    const unauthenticated = buildRefusal(ErrorCode.UNAUTHENTICATED, 'missing or unknown operator token', 'set CATKINFERRY_TOKEN or --token-file')
    if (token === undefined) return unauthenticated
    if (activeChecks >= MAX_CONCURRENT_CHECKS) return buildRefusal(ErrorCode.OVER_LIMIT, 'too many concurrent token checks', 'retry shortly')
    activeChecks += 1
    try {
      return await opts.tokens.authenticate(token) ?? unauthenticated
    } catch (error) {
      opts.logger.error('cannot read the operator token file', { step: 'operator.authenticate', cause: error })
      return buildRefusal(ErrorCode.INTERNAL, 'cannot read the operator token file', 'see the log of this host')
    } finally {
      activeChecks -= 1
    }
  }

  async function submit (operator: OperatorIdentity, call: OperatorCall): Promise<OperatorReply> {
    submitted += 1
    const opId = `${idPrefix}-${submitted}`
    const waitMs = 'deadlineMs' in call ? call.deadlineMs + REPLY_MARGIN_MS : READ_TIMEOUT_MS
    return await new Promise(resolve => {
      const timer = setTimeout(() => {
        pendingReplies.delete(opId)
        resolve(buildTimeout(call))
      }, waitMs)
      pendingReplies.set(opId, reply => {
        clearTimeout(timer)
        pendingReplies.delete(opId)
        resolve(reply)
      })
      opts.emit({ kind: 'operator.request', opId, request: { ...call, operator } })
    })
  }

  /** Refuses a request for lack of a role, and reports a forbidden settings change for the audit trail. */
  async function refuseRole (req: IncomingMessage, kind: string, operator: AuthenticatedOperator, role: string): Promise<OperatorReply> {
    const refusal = buildRefusal(ErrorCode.FORBIDDEN, `${kind} needs the role ${role}; ${operator.name} has ${operator.role}`)
    if (kind !== 'settings.change') return refusal
    const body = await readBody(req)
    const parsed = body === undefined ? undefined : parseOperatorCall(kind, body)
    if (parsed === undefined || 'ok' in parsed || parsed.call.kind !== 'settings.change' || parsed.call.dryRun) return refusal
    const { changeId, changes } = parsed.call
    const from = req.socket.remoteAddress ?? 'unknown'
    opts.emit({ kind: 'operator.refused', operator: { ...operator, from }, changeId, changes, failure: refusal.failure })
    return refusal
  }

  async function processRequest (req: IncomingMessage): Promise<OperatorReply> {
    const path = (req.url ?? '').split('?')[0] ?? ''
    const kind = path.slice(PATH_PREFIX.length)
    if (!path.startsWith(PATH_PREFIX) || !Object.hasOwn(OPERATOR_CALL_RULES, kind)) {
      return buildRefusal(ErrorCode.NOT_FOUND, `unknown operator request: ${req.url ?? ''}`, `known kinds: ${Object.keys(OPERATOR_CALL_RULES).join(', ')}`)
    }
    if (req.method !== 'POST') return buildRefusal(ErrorCode.METHOD_NOT_ALLOWED, `${req.method ?? 'the method'} is not allowed for ${kind}`, 'operator requests are sent with POST')
    const operator = await authenticate(req)
    if ('ok' in operator) return operator
    const { role } = OPERATOR_CALL_RULES[kind as OperatorCall['kind']]
    if (!hasRole(operator.role, role)) return await refuseRole(req, kind, operator, role)
    const body = await readBody(req)
    if (body === undefined) return buildRefusal(ErrorCode.TOO_LARGE, `request body is over the limit of ${MAX_BODY_BYTES} bytes`)
    const parsed = parseOperatorCall(kind, body)
    if ('ok' in parsed) return parsed
    return await submit({ ...operator, from: req.socket.remoteAddress ?? 'unknown' }, parsed.call)
  }

  return {
    handle: (req, res) => {
      processRequest(req).then(reply => sendReply(res, reply), () => { res.destroy() })
    },
    receiveReply: (opId, reply) => pendingReplies.get(opId)?.(reply)
  }
}
