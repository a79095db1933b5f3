/** Reads a request body up to a size limit, for the caller API on each request. */
import type { IncomingMessage } from 'node:http'
import { createFailed, createOk, ErrorCode } from '@catkinferry/core.errors'
import type { Result } from '@catkinferry/core.errors'

/** Reads the complete body as UTF-8; `undefined` if the caller disconnects before the end. */
export async function readBody (req: IncomingMessage, maxBytes: number): Promise<Result<string> | undefined> {
  const tooLarge = createFailed({ code: ErrorCode.TOO_LARGE, message: `request body is over the limit of ${maxBytes} bytes`, step: 'caller.read', ran: 'no', hint: 'send a smaller body' })
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) return tooLarge
  return await new Promise(resolve => {
    const parts: Buffer[] = []
    let bytes = 0
    req.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes <= maxBytes) {
        parts.push(part)
        return
      }
      req.pause()
      resolve(tooLarge)
    })
    req.on('end', () => resolve(createOk(Buffer.concat(parts).toString('utf8'))))
    req.on('close', () => resolve(undefined))
  })
}
