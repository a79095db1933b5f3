/**
 * HTTP API for callers: submits their requests to the host core and writes its outputs as responses. The daemon creates it
 * at start and passes it each request and each output for a caller.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Clock } from '@catkinferry/core.clock'
import { MAX_REQUEST_BYTES } from '@catkinferry/core.constants'
import { createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Failure, Result } from '@catkinferry/core.errors'
import type { Metrics } from '@catkinferry/core.metrics'
import type { AdapterWork, CallerId, CallerRequest, DurationMs, HostId, RequestId, ResolvedAdapter, ServiceClass, Work } from '@catkinferry/core.types'
import type { HostEvent, HostOutput } from '@catkinferry/host.events'
import { createAnswer } from './answer.ts'
import type { Answer, AnswerLimits } from './answer.ts'
import { computeRetryAfterSeconds, findStatus, renderErrorBody } from './errorBody.ts'
import { parseCompletion, parseRequestParams } from './parseRequest.ts'
import type { RequestParams } from './parseRequest.ts'
import { readBody } from './readBody.ts'
import { findRoute } from './serviceRoutes.ts'
import type { ServiceRoute } from './serviceRoutes.ts'

export interface CallerApiOptions {
  /** Prefix of request ids, followed by a dash. */
  readonly host: HostId
  readonly clock: Clock
  readonly emit: (event: HostEvent) => void
  readonly metrics: Metrics
  readonly routes: readonly ServiceRoute[]
  /** Returns undefined if the token is missing or unknown. */
  readonly findCaller: (authorization: string | undefined) => CallerId | undefined
  /** Lists a page of adapters for `/v1/models`; `after` names the last adapter of the previous page. */
  readonly listAdapters: (opts: { after?: string, limit: number }) => readonly ResolvedAdapter[]
  readonly getDefaultDeadlineMs: (serviceClass: ServiceClass) => DurationMs
  /** Pauses or resumes the endpoint's stream of a request. */
  readonly setPaused: (requestId: RequestId, paused: boolean) => void
  /** Longest pause of a stream before its slow caller is disconnected. Below the progress timeout, so that a paused stream is not taken for a stalled one. */
  readonly getMaxPauseMs: () => DurationMs
  readonly limits?: Partial<Omit<AnswerLimits, 'maxPauseMs'>>
}

type CallerOutput = Extract<HostOutput, { kind: 'caller.head' | 'caller.chunk' | 'caller.end' | 'caller.fail' }>

export interface CallerApi {
  readonly handle: RequestListener
  readonly receiveOutput: (output: CallerOutput) => void
  /** Writes the data of all outputs received since the last flush. */
  readonly flush: () => void
  /** Sets what `/readyz` answers. */
  readonly setHealth: (ready: boolean, reason: string) => void
  readonly getActiveCount: () => number
}

const DEFAULT_LIMITS: Omit<AnswerLimits, 'maxPauseMs'> = { pauseAboveBytes: 64 * 1024, dropAboveBytes: 1024 * 1024 }
const MODELS_PAGE_SIZE = 1_000
const FORMS: Readonly<Record<string, AdapterWork['form']>> = { '/v1/completions': 'completions', '/v1/chat/completions': 'chat' }

interface ActiveAnswer {
  readonly answer: Answer
  readonly arrivedAt: number
  chunks: number
  status: number
}

interface ApiState {
  readonly opts: CallerApiOptions
  readonly limits: Omit<AnswerLimits, 'maxPauseMs'>
  readonly active: Map<RequestId, ActiveAnswer>
  readonly unflushed: Set<Answer>
  readonly idPrefix: string
  health: { readonly ready: boolean, readonly reason: string }
  requests: number
}

function sendJson (res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

function sendFailure (res: ServerResponse, failure: Failure): void {
  const headers: Record<string, string> = { 'content-type': 'application/json' }
  const retryAfter = computeRetryAfterSeconds(failure)
  if (retryAfter !== undefined) headers['retry-after'] = String(retryAfter)
  if (failure.code === ErrorCode.TOO_LARGE) headers.connection = 'close'
  res.writeHead(findStatus(failure), headers)
  res.end(renderErrorBody(failure))
}

function createRequestId (state: ApiState): RequestId {
  state.requests += 1
  return `${state.idPrefix}x${state.requests.toString(36)}`
}

function finishRequest (state: ApiState, requestId: RequestId): void {
  const entry = state.active.get(requestId)
  if (!state.active.delete(requestId) || entry === undefined) return
  const { metrics, clock } = state.opts
  metrics.count('caller.requests', 1, { status: String(entry.status) })
  metrics.count('caller.chunks', entry.chunks)
  metrics.timing('caller.request_ms', clock.getMonotonicMs() - entry.arrivedAt)
}

function submitWork (state: ApiState, res: ServerResponse, opts: { readonly work: Work, readonly idempotent: boolean, readonly params: RequestParams, readonly caller: CallerId }): void {
  const { emit, metrics, clock, getDefaultDeadlineMs, setPaused } = state.opts
  const { params } = opts
  const requestId = createRequestId(state)
  const request: CallerRequest = {
    requestId,
    caller: opts.caller,
    work: opts.work,
    idempotent: opts.idempotent,
    claimKey: params.claimKey,
    serviceClass: params.serviceClass,
    deadlineMs: params.deadlineMs ?? getDefaultDeadlineMs(params.serviceClass)
  }
  const answer = createAnswer({
    requestId,
    res,
    limits: { ...state.limits, maxPauseMs: state.opts.getMaxPauseMs() },
    setPaused: paused => {
      if (paused) metrics.count('caller.paused', 1)
      setPaused(requestId, paused)
    },
    onDisconnect: reason => {
      metrics.count('caller.gone', 1, { reason })
      finishRequest(state, requestId)
      emit({ kind: 'caller.gone', requestId })
    }
  })
  state.active.set(requestId, { answer, arrivedAt: clock.getMonotonicMs(), chunks: 0, status: 0 })
  emit({ kind: 'caller.submit', request })
}

/** Authenticates the caller and reads body and headers. Answers the request and returns undefined if any of them is invalid. */
async function readRequest (state: ApiState, req: IncomingMessage, res: ServerResponse): Promise<{ readonly body: string, readonly params: RequestParams, readonly caller: CallerId } | undefined> {
  const caller = state.opts.findCaller(req.headers.authorization)
  const params = parseRequestParams(req.headers)
  const body = await readBody(req, MAX_REQUEST_BYTES)
  if (body === undefined) return undefined
  if (caller === undefined) {
    sendFailure(res, { code: ErrorCode.UNAUTHENTICATED, message: 'missing or unknown caller token', step: 'caller.authenticate', ran: 'no', hint: 'send Authorization: Bearer TOKEN' })
  } else if (!params.ok) {
    sendFailure(res, params.failure)
  } else if (!body.ok) {
    sendFailure(res, body.failure)
  } else {
    return { body: body.value, params: params.value, caller }
  }
  return undefined
}

async function handleCompletion (state: ApiState, form: AdapterWork['form'], req: IncomingMessage, res: ServerResponse): Promise<void> {
  const read = await readRequest(state, req, res)
  if (read === undefined) return
  const work = parseCompletion(form, read.body)
  if (!work.ok) {
    sendFailure(res, work.failure)
    return
  }
  // With an idempotency key, a completion too runs at most once.
  submitWork(state, res, { ...read, work: work.value, idempotent: read.params.claimKey === undefined })
}

async function handleService (state: ApiState, route: ServiceRoute, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const read = await readRequest(state, req, res)
  if (read === undefined) return
  const work = { kind: 'service', route: route.route, method: req.method ?? 'GET', path: req.url ?? '/', body: read.body, contentType: req.headers['content-type'] } as const
  submitWork(state, res, { ...read, work, idempotent: route.idempotent })
}

function sendModels (state: ApiState, url: URL, res: ServerResponse): void {
  const after = url.searchParams.get('after') ?? undefined
  const limit = Math.min(Number(url.searchParams.get('limit') ?? MODELS_PAGE_SIZE) || MODELS_PAGE_SIZE, MODELS_PAGE_SIZE)
  const adapters = state.opts.listAdapters({ after, limit })
  const data = adapters.map(({ adapter, adapterKey, model }) => ({ id: adapterKey, object: 'model', parent: model, adapter }))
  sendJson(res, 200, { object: 'list', data, has_more: adapters.length === limit, last_id: adapters.at(-1)?.adapter })
}

type GetHandler = (state: ApiState, url: URL, res: ServerResponse) => void

const GET_HANDLERS: Readonly<Record<string, GetHandler>> = {
  '/healthz': (_state, _url, res) => { sendJson(res, 200, { alive: true }) },
  '/readyz': ({ health }, _url, res) => { sendJson(res, health.ready ? 200 : 503, health) },
  '/v1/models': sendModels
}

function parseUrl (req: IncomingMessage): Result<URL> {
  try {
    return createOk(new URL(req.url ?? '/', 'http://localhost'))
  } catch {
    return { ok: false, failure: { code: ErrorCode.BAD_REQUEST, message: 'invalid request path', step: 'caller.parse', ran: 'no' } }
  }
}

async function handleRequest (state: ApiState, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const parsed = parseUrl(req)
  if (!parsed.ok) {
    sendFailure(res, parsed.failure)
    return
  }
  const { pathname } = parsed.value
  const form = FORMS[pathname]
  const handler = Object.hasOwn(GET_HANDLERS, pathname) ? GET_HANDLERS[pathname] : undefined
  const route = findRoute(state.opts.routes, pathname)
  if (form !== undefined && req.method === 'POST') await handleCompletion(state, form, req, res)
  else if (handler !== undefined && req.method === 'GET') handler(state, parsed.value, res)
  else if (route !== undefined) await handleService(state, route, req, res)
  else sendFailure(res, { code: ErrorCode.NOT_FOUND, message: `no such route: ${req.method ?? ''} ${pathname}`, step: 'caller.route', ran: 'no', hint: 'see GET /v1/models and the services of the settings file' })
}

function receiveCallerOutput (state: ApiState, output: CallerOutput): void {
  const entry = state.active.get(output.requestId)
  if (entry === undefined) return
  const { answer } = entry
  switch (output.kind) {
    case 'caller.head':
      entry.status = output.status
      answer.begin(output.facts, output.status, output.contentType)
      break
    case 'caller.chunk':
      if (entry.chunks === 0) state.opts.metrics.timing('caller.first_chunk_ms', state.opts.clock.getMonotonicMs() - entry.arrivedAt)
      entry.chunks += 1
      answer.addChunk(output.data)
      break
    case 'caller.end':
      answer.end()
      finishRequest(state, output.requestId)
      break
    case 'caller.fail':
      if (entry.status === 0) entry.status = findStatus(output.failure)
      answer.fail(output.failure)
      finishRequest(state, output.requestId)
      return
  }
  state.unflushed.add(answer)
}

/** Creates the API. The HTTP server calls `handle`; the shell calls `flush` after each run of the host core. */
export function createCallerApi (opts: CallerApiOptions): CallerApi {
  const state: ApiState = {
    opts,
    limits: { ...DEFAULT_LIMITS, ...opts.limits },
    active: new Map(),
    unflushed: new Set(),
    idPrefix: `${opts.host}-${randomBytes(5).toString('hex')}`,
    health: { ready: false, reason: 'starting' },
    requests: 0
  }
  return {
    handle: (req, res) => {
      handleRequest(state, req, res).catch(() => { res.destroy() })
    },
    receiveOutput: output => receiveCallerOutput(state, output),
    flush: () => {
      for (const answer of state.unflushed) answer.flush()
      state.unflushed.clear()
    },
    setHealth: (ready, reason) => { state.health = { ready, reason } },
    getActiveCount: () => state.active.size
  }
}
