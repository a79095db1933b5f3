/**
 * Decides what a response is to a caller who may have part of an earlier one. Called for the head of each response that an
 * endpoint, or a peer, gives to an attempt.
 */
import type { IncomingMessage } from 'node:http'
import type { Route } from '@catkinferry/core.types'
import { RouteKind } from '@catkinferry/core.types'

/** `ANSWER`: the caller has nothing yet, so any response is the answer. `CONTINUATION`: the rest of the stream that the caller has the beginning of. `FAILURE`: nothing of it may follow what the caller has. */
export const ResponseRole = { ANSWER: 'answer', CONTINUATION: 'continuation', FAILURE: 'failure' } as const
export type ResponseRole = typeof ResponseRole[keyof typeof ResponseRole]

/** What tells responses of one kind from others. */
export interface ResponseHead {
  readonly status: number
  /** In lower case and without parameters; undefined if the response states none. */
  readonly mediaType?: string
  /** Whether the body has a content encoding. */
  readonly isEncoded: boolean
}

/** What a caller has of the response to its request. */
export interface SentPart {
  readonly headSent: boolean
  /** Head of the stream that another endpoint may go on with; undefined for any other response. A peer may go on with one that another host has begun to send. */
  readonly resumableHead: ResponseHead | undefined
}

/** The only status of an event stream (HTML Standard, section 9.2.3). */
const EVENT_STREAM_STATUS = 200
const EVENT_STREAM = 'text/event-stream'
const IDENTITY = 'identity'

export function readResponseHead ({ headers, statusCode = 0 }: Pick<IncomingMessage, 'headers' | 'statusCode'>): ResponseHead {
  const [mediaType = ''] = headers['content-type']?.split(';') ?? []
  const encoding = headers['content-encoding']?.trim().toLowerCase() ?? ''
  return { status: statusCode, mediaType: mediaType.trim().toLowerCase() || undefined, isEncoded: encoding !== '' && encoding !== IDENTITY }
}

/** Whether a response is a stream of server-sent events. Endpoints of resumable routes need not state it. */
export function isEventStream ({ kind, resumable }: Pick<Route, 'kind' | 'resumable'>, { status, mediaType, isEncoded }: ResponseHead): boolean {
  if (kind !== RouteKind.STREAM || status !== EVENT_STREAM_STATUS || isEncoded) return false
  return mediaType === EVENT_STREAM || (resumable && mediaType === undefined)
}

/** A stream goes on with a response of the same status and type. One that stated no type may go on as an event stream that states it. */
export function findResponseRole ({ headSent, resumableHead: sent }: SentPart, { status, mediaType, isEncoded }: ResponseHead): ResponseRole {
  if (sent === undefined) return headSent ? ResponseRole.FAILURE : ResponseRole.ANSWER
  if (status !== sent.status || isEncoded) return ResponseRole.FAILURE
  return mediaType === sent.mediaType || mediaType === EVENT_STREAM ? ResponseRole.CONTINUATION : ResponseRole.FAILURE
}
