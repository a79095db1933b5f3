/** Answers callers whose bytes are no request, or whose request does not arrive whole in time, as the HTTP server of Node.js does. */
import type { Duplex } from 'node:stream'

export const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'
/** The caller has ended its side in the midst of a request. */
export const INCOMPLETE_AT_END = 'HPE_INVALID_EOF_STATE'
/** The caller asks for a tunnel, for which the HTTP server has no response of its own. */
export const TUNNEL_REQUESTED = 'TUNNEL_REQUESTED'

const DEFAULT_STATUS = '400 Bad Request'
const STATUS_BY_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  [REQUEST_TIMEOUT]: '408 Request Timeout',
  [TUNNEL_REQUESTED]: '501 Not Implemented'
}

/** Answers and closes the connection. */
export function answerClientError (socket: Duplex & { readonly destroySoon?: () => void }, code: string | undefined): void {
  if (socket.writable) socket.write(`HTTP/1.1 ${STATUS_BY_CODE[code ?? ''] ?? DEFAULT_STATUS}\r\nConnection: close\r\n\r\n`)
  socket.destroySoon?.()
}
