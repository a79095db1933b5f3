/** Headers of the request of an attempt. */
import type { SendOptions } from './attempt.ts'
import { countEndpointsLeft } from './exchange.ts'
import { encodeForwarded, FORWARDED_HEADER } from './forwardedRequest.ts'
import { selectEndToEnd } from './headers.ts'

/** Headers that tell a peer how far the request has come. All that the caller sent goes along. */
function buildPeerHeaders ({ relay, exchange }: SendOptions): string[] {
  const { pool, routesVersion, deadlineAt, arrivedAt, tried, lastEventId, softwareVersion, resumableHead, chargedUnits } = exchange
  const now = relay.clock.getMonotonicMs()
  const left = countEndpointsLeft(exchange)
  const maxEndpoints = Math.min(left, 1)
  return [FORWARDED_HEADER, encodeForwarded({ waitedMs: now - arrivedAt, remainingMs: Math.max(0, deadlineAt - now), routesVersion, pool: pool.name, maxEndpoints, furtherEndpoints: left - maxEndpoints, tried: [...tried], lastEventId, softwareVersion, resumableHead, ...(chargedUnits === undefined ? {} : { isCharged: true }) })]
}

function buildEndpointHeaders ({ relay, exchange, target }: SendOptions): readonly string[] {
  const { route, facts, deadlineAt, lastEventId, account } = exchange
  return relay.dialect.buildHeaders({
    endpoint: target.endpoint,
    remainingMs: Math.max(1, Math.floor(deadlineAt - relay.clock.getMonotonicMs())),
    priority: route.priority,
    hasModel: facts.model !== undefined,
    version: target.version,
    lastEventId,
    account: account?.name
  })
}

/** Builds the headers of the request as it is sent to the endpoint or peer. */
export function buildHeaders (opts: SendOptions): string[] {
  const { relay: { dialect, directory }, exchange: { req, body, hasAccounts }, target: { isPeer = false } } = opts
  // Accounts may have come into force since the request arrived.
  const dropsKey = hasAccounts || directory.getRoutes()?.table.accounts !== undefined
  const own = isPeer ? buildPeerHeaders(opts) : buildEndpointHeaders(opts)
  const hasBody = body.length > 0 || req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined
  const dropped = new Set(['content-length', FORWARDED_HEADER, ...(isPeer ? [] : dialect.reservedHeaders), ...(dropsKey && !isPeer ? dialect.accountHeaders : [])])
  const headers = [...selectEndToEnd(req.rawHeaders, dropped), ...own]
  if (hasBody) headers.push('Content-Length', String(body.length))
  return headers
}
