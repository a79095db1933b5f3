/** Header handling of the relay, on each request and response: filters hop-by-hop headers, counts header bytes and formats `Retry-After`. */

const HOP_BY_HOP: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'])

/** A token (RFC 9110, section 5.6.2). The parser of Node.js lets spaces and empty names pass, but throws if they are sent on. */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/

function listConnectionOptions (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue
    for (const name of rawHeaders[index + 1]?.split(',') ?? []) named.add(name.trim().toLowerCase())
  }
  return named
}

/** Selects the end-to-end headers (RFC 9110, section 7.6.1) with valid names that are not in `dropped`, as alternating names and values. */
export function selectEndToEnd (rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
  const named = listConnectionOptions(rawHeaders)
  const kept: string[] = []
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? ''
    const key = name.toLowerCase()
    if (!HOP_BY_HOP.has(key) && !named.has(key) && !dropped.has(key) && HEADER_NAME.test(name)) kept.push(name, rawHeaders[index + 1] ?? '')
  }
  return kept
}

/** Size of the header lines as the caller sent them. */
export function countHeaderBytes (rawHeaders: readonly string[]): number {
  let bytes = 0
  for (const text of rawHeaders) bytes += text.length + SEPARATOR_BYTES
  return bytes
}

/** Per name a colon and a space, per value a line end. */
const SEPARATOR_BYTES = 2

const MS_PER_SECOND = 1_000

/** Formats a delay for `Retry-After`, in seconds with three decimals. */
export function formatRetryAfter (ms: number): string {
  return (ms / MS_PER_SECOND).toFixed(3)
}
