/**
 * Looks up callers by bearer token, for the caller API on each request. Tokens are long random strings, configured as
 * SHA-256.
 */
import { createKeyIndex } from '@catkinferry/accounts.keys'
import type { CallerId } from '@catkinferry/core.types'

export interface CallerToken {
  readonly caller: CallerId
  /** Hexadecimal SHA-256 of the token. */
  readonly tokenSha256: string
}

/** The caller of all requests if no tokens are configured. */
export const ANONYMOUS_CALLER = 'anonymous'

const BEARER = /^Bearer (\S+)$/i

/** Returns the token of an `Authorization: Bearer` header; undefined if there is none. */
export function parseBearer (header: string | undefined): string | undefined {
  return BEARER.exec(header ?? '')?.[1]
}

/** Creates the lookup from an `Authorization` header to a caller. If `tokens` is empty, every request is anonymous. */
export function createCallerLookup (tokens: readonly CallerToken[]): (authorization: string | undefined) => CallerId | undefined {
  const index = createKeyIndex(tokens.map(({ caller, tokenSha256 }) => ({ caller, keyDigests: [tokenSha256.toLowerCase()] })))
  return authorization => {
    return tokens.length === 0 ? ANONYMOUS_CALLER : index.find(parseBearer(authorization))?.caller
  }
}
