/**
 * Reads attempt, adapter and version from the JSON of an engine's response. The answer readers put them into each event,
 * and the host core drops events that do not match the attempt. Runs for each stream event and each complete response.
 */
import type { AnswerEcho } from '@catkinferry/core.types'
import { parseAdapterKey } from '@catkinferry/core.types'

export interface ParsedAnswer {
  readonly echo: AnswerEcho
  readonly body: Readonly<Record<string, unknown>>
}

/**
 * Parses one stream event or a complete response body: a JSON object with `id` and `model`. Returns undefined for anything
 * else.
 */
export function parseEcho (data: string): ParsedAnswer | undefined {
  let body: unknown
  try {
    body = JSON.parse(data)
  } catch {
    return undefined
  }
  if (typeof body !== 'object' || body === null) return undefined
  const { id, model } = body as { id?: unknown, model?: unknown }
  if (typeof id !== 'string' || typeof model !== 'string') return undefined
  return { echo: { attemptId: id, ...parseAdapterKey(model) }, body: body as Record<string, unknown> }
}

/** Returns `usage.completion_tokens` of a complete response; 1 if it has none, which is also the count of each stream event. */
export function getTokenCount (body: Readonly<Record<string, unknown>>): number {
  const usage = body.usage as { completion_tokens?: unknown } | undefined
  return typeof usage?.completion_tokens === 'number' ? usage.completion_tokens : 1
}
