/** Callers by bearer token. Tokens are long random strings, kept as SHA-256. */
import { createHash } from 'node:crypto'
import type { CallerId } from '@catkinferry/core.types'

export interface CallerToken {
  readonly caller: CallerId
  /** Hexadecimal SHA-256 of the token. */
  readonly tokenSha256: string
}

/** The caller of requests without a token, where none is asked for. */
export const ANONYMOUS_CALLER = 'anonymous'

const BEARER = /^Bearer (\S+)$/i

/** Takes the token out of an `Authorization` header. */
export function parseBearer (header: string | undefined): string | undefined {
  return BEARER.exec(header ?? '')?.[1]
}

/** Creates the lookup from a header to a caller. Without tokens every request is anonymous. */
export function createCallerLookup (tokens: readonly CallerToken[]): (authorization: string | undefined) => CallerId | undefined {
  const callers = new Map(tokens.map(({ caller, tokenSha256 }) => [tokenSha256.toLowerCase(), caller]))
  return authorization => {
    if (callers.size === 0) return ANONYMOUS_CALLER
    const token = parseBearer(authorization)
    if (token === undefined) return undefined
    return callers.get(createHash('sha256').update(token).digest('hex'))
  }
}
