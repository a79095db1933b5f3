/** Names what two attempts of callers have in common if they are the same request, under whatever id. The relay computes it once it has the body. */
import { createHash } from 'node:crypto'
import type { Exchange } from './exchange.ts'

/** Characters kept of the digest: 96 bits. */
const DIGEST_LENGTH = 16

/** Digest of the method, host name, target, credentials, model, adapter and body. Other headers differ from attempt to attempt. */
export function computeRequestDigest ({ req, facts, body }: Pick<Exchange, 'req' | 'facts' | 'body'>): string {
  const { method, url, headers: { host, authorization } } = req
  return createHash('sha256').update(JSON.stringify([method, host, url, authorization, facts.model, facts.adapter])).update(body).digest('base64url').slice(0, DIGEST_LENGTH)
}
