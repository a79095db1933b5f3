/** Headers that concern one connection only, and those of the relay's own answers. */

const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

function listNamedByConnection (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]?.split(',') ?? []) named.add(name.trim().toLowerCase())
  }
  return named
}

/** Gives the headers that go from end to end, without those in `dropped`; names and values by turns. */
export function takeEndToEnd (rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
  const named = listNamedByConnection(rawHeaders)
  const kept: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? ''
    const key = name.toLowerCase()
    if (!HOP_BY_HOP.has(key) && !named.has(key) && !dropped.has(key)) kept.push(name, rawHeaders[index + 1] ?? '')
  }
  return kept
}

/** Bytes of the header lines as a caller sent them. */
export function countHeaderBytes (rawHeaders: readonly string[]): number {
  let bytes = 0
  for (const text of rawHeaders) bytes += text.length + LINE_EXTRA_BYTES
  return bytes
}

/** Colon and space after a name, line end after a value. */
const LINE_EXTRA_BYTES = 2

const MS_PER_SECOND = 1_000

/** Formats a pause for `Retry-After`, in seconds with fractions. */
export function formatRetryAfter (ms: number): string {
  return (ms / MS_PER_SECOND).toFixed(3)
}
