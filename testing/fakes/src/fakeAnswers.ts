/** Response bodies of the fake engine, in the format of the OpenAI API. The text depends only on the prompt. */

export type FakeForm = 'completions' | 'chat'

export interface FakeAnswerOptions {
  readonly form: FakeForm
  readonly attemptId: string
  readonly model: string
}

const OBJECT_NAMES: Readonly<Record<FakeForm, { answer: string, chunk: string }>> = {
  completions: { answer: 'text_completion', chunk: 'text_completion' },
  chat: { answer: 'chat.completion', chunk: 'chat.completion.chunk' }
}

/** Builds one word of the answer to a prompt; `index` is its position in the answer. */
export function buildFakeWord (prompt: string, index: number): string {
  return `${prompt.slice(0, 8)}-${index} `
}

/** Builds one stream chunk as JSON text. */
export function buildFakeChunk (opts: FakeAnswerOptions, word: string, last: boolean): string {
  const finish = last ? 'stop' : null
  const choice = opts.form === 'chat'
    ? { index: 0, delta: { content: word }, finish_reason: finish }
    : { index: 0, text: word, finish_reason: finish }
  return JSON.stringify({ id: opts.attemptId, object: OBJECT_NAMES[opts.form].chunk, created: 0, model: opts.model, choices: [choice] })
}

/** Builds the body of an answer that is not streamed. */
export function buildFakeAnswer (opts: FakeAnswerOptions, text: string, tokens: number): unknown {
  const choice = opts.form === 'chat'
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
    : { index: 0, text, finish_reason: 'stop' }
  const usage = { prompt_tokens: 1, completion_tokens: tokens, total_tokens: tokens + 1 }
  return { id: opts.attemptId, object: OBJECT_NAMES[opts.form].answer, created: 0, model: opts.model, choices: [choice], usage }
}

/** Gets the prompt of a completions body, or the last message of a chat body. */
export function findFakePrompt (body: Record<string, unknown>): string {
  if (typeof body.prompt === 'string') return body.prompt
  const messages = Array.isArray(body.messages) ? body.messages as { content?: unknown }[] : []
  return String(messages.at(-1)?.content ?? '')
}
