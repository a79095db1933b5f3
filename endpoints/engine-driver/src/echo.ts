/** What an engine's answer says of itself: attempt, adapter, version. */
import type { AnswerEcho } from '@catkinferry/core.types'
import { parseAdapterKey } from '@catkinferry/core.types'

export interface ParsedAnswer {
  readonly echo: AnswerEcho
  readonly body: Readonly<Record<string, unknown>>
}

/** Parses JSON with `id` and `model`; undefined when it is something else. */
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

/** Generated tokens of a whole answer, by its usage; 1 when it gives none. */
export function findTokenCount (body: Readonly<Record<string, unknown>>): number {
  const usage = body.usage as { completion_tokens?: unknown } | undefined
  return typeof usage?.completion_tokens === 'number' ? usage.completion_tokens : 1
}
