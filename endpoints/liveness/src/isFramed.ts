/** Whether a response says where it ends. Asked for each response once its head has come. */

/** A response as far as its head tells, and the method of its request. */
export interface ResponseFrame {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly method: string | undefined
}

const NO_CONTENT = 204
const NOT_MODIFIED = 304
const HEAD = 'HEAD'
/** Chunks end a body only if they are the last encoding (RFC 9112, section 6.3). */
const IN_CHUNKS = /\bchunked\s*$/i

/** Whether a response has a length, chunks or no body. Any other ends with its connection, which also ends when the endpoint's process does. */
export function isFramed ({ status, headers, method }: ResponseFrame): boolean {
  const isBodiless = status === NO_CONTENT || status === NOT_MODIFIED || method === HEAD
  return isBodiless || headers['content-length'] !== undefined || IN_CHUNKS.test(String(headers['transfer-encoding'] ?? ''))
}
