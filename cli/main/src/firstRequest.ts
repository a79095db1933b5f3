/** Sends one streamed completion and collects the answer, for `catkinferry dev`. */

export interface FirstAnswer {
  readonly text: string
  readonly adapter: string
  readonly version: string
  readonly requestId: string
  readonly firstChunkMs: number
  readonly wholeMs: number
  readonly loadStallMs: number
  readonly queueMs: number
}

const PROMPT = 'hello'
const MAX_TOKENS = 12
const END_MARKER = '[DONE]'

interface Chunk {
  readonly choices?: readonly { readonly text?: string }[]
}

function parseStream (body: string): string {
  const events = body.split('\n\n').filter(event => event.startsWith('data: ')).map(event => event.slice('data: '.length))
  if (events.at(-1) !== END_MARKER) throw new Error('the stream ended without its end marker')
  return events.slice(0, -1).map(event => (JSON.parse(event) as Chunk).choices?.[0]?.text ?? '').join('').trim()
}

/** Rejects if the answer is an error or incomplete. */
export async function sendFirstRequest (callerUrl: string, adapter: string): Promise<FirstAnswer> {
  const startedAt = performance.now()
  const body = JSON.stringify({ model: adapter, prompt: PROMPT, stream: true, max_tokens: MAX_TOKENS })
  const answer = await fetch(`${callerUrl}/v1/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
  if (!answer.ok || answer.body === null) throw new Error(`status ${answer.status}: ${await answer.text()}`)
  const decoder = new TextDecoder()
  let text = ''
  let firstChunkMs: number | undefined
  for await (const part of answer.body) {
    firstChunkMs ??= Math.round(performance.now() - startedAt)
    text += decoder.decode(part as Uint8Array, { stream: true })
  }
  const getHeader = (name: string): string => answer.headers.get(`x-catkinferry-${name}`) ?? ''
  return {
    text: parseStream(text),
    adapter: getHeader('adapter'),
    version: getHeader('version'),
    requestId: getHeader('request-id'),
    firstChunkMs: firstChunkMs ?? 0,
    wholeMs: Math.round(performance.now() - startedAt),
    loadStallMs: Number(getHeader('load-stall-ms')),
    queueMs: Number(getHeader('queue-ms'))
  }
}
