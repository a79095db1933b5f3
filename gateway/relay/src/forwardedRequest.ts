/**
 * What an entry host tells the peer to which it forwards a caller's request, in a header, and what the peer tells it of a
 * response of its own. Peers take such requests at a listener that callers do not reach. Before a peer sends a request to a
 * further endpoint, it tells the entry host with a 102, so that this one knows what a peer may have used that was killed.
 */
import type { IncomingHttpHeaders } from 'node:http'
import * as z from 'zod'

export const FORWARDED_HEADER = 'catkinferry-forwarded'
/** Set on each response that the peer itself gives. */
export const OUTCOME_HEADER = 'catkinferry-outcome'

/** What became of a request that the peer answered itself. */
export const PeerOutcome = {
  /** The peer cannot serve now; another host may. It has not run. */
  DECLINED: 'declined',
  /** It is refused, and has not run. */
  REFUSED: 'refused',
  /** It may have run. */
  LOST: 'lost'
} as const
export type PeerOutcome = typeof PeerOutcome[keyof typeof PeerOutcome]

const forwardedSchema = z.object({
  /** Time in ms since the request arrived, and until its deadline. */
  waitedMs: z.number().nonnegative(),
  remainingMs: z.number().nonnegative(),
  /** Version of the sender's route table; a peer with an older one declines. */
  routesVersion: z.number().int(),
  pool: z.string(),
  /** Endpoints that may still run it, and those that may have. */
  maxEndpoints: z.number().int().nonnegative(),
  /** How many more may, each after the sender has been told with a 102. Absent: none. */
  furtherEndpoints: z.number().int().nonnegative().optional(),
  tried: z.array(z.string()),
  /** Where a stream goes on that has begun, and at which software version. */
  lastEventId: z.string().optional(),
  softwareVersion: z.string().optional(),
  /** Head of that stream. Absent: the caller has nothing of a stream, or the sender does not say. */
  resumableHead: z.object({ status: z.number().int(), mediaType: z.string().optional(), isEncoded: z.boolean() }).optional(),
  /** Whether the sender has taken its units from the account's quota. Absent: it has not. */
  isCharged: z.boolean().optional()
})

export type ForwardedFacts = z.infer<typeof forwardedSchema>

export function encodeForwarded (facts: ForwardedFacts): string {
  return encodeURIComponent(JSON.stringify(facts))
}

/** Returns undefined if the header is missing or invalid. */
export function decodeForwarded (headers: IncomingHttpHeaders): ForwardedFacts | undefined {
  const text = headers[FORWARDED_HEADER]
  if (typeof text !== 'string') return undefined
  try {
    return forwardedSchema.parse(JSON.parse(decodeURIComponent(text)))
  } catch {
    return undefined
  }
}

export function readOutcome (headers: IncomingHttpHeaders): PeerOutcome | undefined {
  return Object.values(PeerOutcome).find(outcome => outcome === headers[OUTCOME_HEADER])
}
