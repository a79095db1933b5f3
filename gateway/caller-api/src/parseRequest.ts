/** Parses and validates callers' HTTP requests, for the caller API before it submits each; errors name the invalid field. */
import { createHash } from 'node:crypto'
import type { IncomingHttpHeaders } from 'node:http'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Result } from '@catkinferry/core.errors'
import { parseAdapterKey, ServiceClass } from '@catkinferry/core.types'
import type { AdapterWork, DurationMs } from '@catkinferry/core.types'
import * as z from 'zod'

const STEP = 'caller.parse'
/** Length of the prompt prefix that is hashed to identify cached prefixes. */
const HASHED_PREFIX_CHARACTERS = 1_024
const CHARACTERS_PER_TOKEN = 4
const DEFAULT_MAX_TOKENS = 256
const MAX_DEADLINE_MS = 24 * 60 * 60 * 1_000
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 256

const commonShape = {
  model: z.string().min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional()
}

const completionSchema = z.looseObject({ ...commonShape, prompt: z.string() })
const messageSchema = z.looseObject({ role: z.string(), content: z.union([z.string(), z.array(z.unknown())]) })
const chatSchema = z.looseObject({ ...commonShape, messages: z.array(messageSchema).min(1) })

/** Options that a caller sets by request headers. */
export interface RequestParams {
  readonly serviceClass: ServiceClass
  /** Undefined selects the default of the service class. */
  readonly deadlineMs: DurationMs | undefined
  readonly claimKey: string | undefined
}

function refuse (message: string): Result<never> {
  return createFailed({ code: ErrorCode.BAD_REQUEST, message, step: STEP, ran: 'no', hint: 'correct the request and send it again' })
}

function parseJson (body: string): Result<unknown> {
  try {
    return createOk(JSON.parse(body) as unknown)
  } catch (error) {
    return refuse(`the body is not JSON: ${(error as Error).message}`)
  }
}

function formatIssue (issue: z.core.$ZodIssue): string {
  const path = issue.path.map(String).join('.')
  return path === '' ? issue.message : `${path}: ${issue.message}`
}

function getPrompt (form: AdapterWork['form'], body: { prompt?: unknown, messages?: unknown }): string {
  return form === 'completions' ? String(body.prompt) : JSON.stringify(body.messages)
}

/** Parses the body of a completion or chat completion. */
export function parseCompletion (form: AdapterWork['form'], text: string): Result<AdapterWork> {
  const json = parseJson(text)
  if (!json.ok) return json
  const parsed = (form === 'chat' ? chatSchema : completionSchema).safeParse(json.value)
  if (!parsed.success) return refuse(parsed.error.issues.map(formatIssue).join('; '))
  const { model, stream, ...body } = parsed.data
  const { adapter, version } = parseAdapterKey(model)
  const prompt = getPrompt(form, body)
  return createOk({
    kind: 'adapter',
    adapter,
    version,
    form,
    body,
    stream,
    prefixHash: createHash('sha1').update(prompt.slice(0, HASHED_PREFIX_CHARACTERS)).digest('base64url'),
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: parsed.data.max_tokens ?? DEFAULT_MAX_TOKENS
  })
}

function readHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/** Parses service class, deadline and idempotency key from the request headers. */
export function parseRequestParams (headers: IncomingHttpHeaders): Result<RequestParams> {
  const serviceClass = readHeader(headers, 'x-catkinferry-class') ?? ServiceClass.STANDARD
  const known = Object.values(ServiceClass).find(value => value === serviceClass)
  if (known === undefined) return refuse(`x-catkinferry-class: must be one of ${Object.values(ServiceClass).join(', ')}`)
  const deadline = readHeader(headers, 'x-catkinferry-deadline-ms')
  const deadlineMs = deadline === undefined ? undefined : Number(deadline)
  if (deadlineMs !== undefined && !(Number.isInteger(deadlineMs) && deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS)) {
    return refuse(`x-catkinferry-deadline-ms: must be a whole number from 1 to ${MAX_DEADLINE_MS}`)
  }
  const claimKey = readHeader(headers, 'idempotency-key')
  if (claimKey !== undefined && (claimKey === '' || claimKey.length > MAX_IDEMPOTENCY_KEY_CHARACTERS)) {
    return refuse(`idempotency-key: must have 1 to ${MAX_IDEMPOTENCY_KEY_CHARACTERS} characters`)
  }
  return createOk({ serviceClass: known, deadlineMs, claimKey })
}
