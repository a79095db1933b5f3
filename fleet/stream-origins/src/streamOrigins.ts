/**
 * Software versions at which streams began, as entry hosts report them to each of several core hosts. Answers entry hosts that a
 * caller asks to go on with a stream that began elsewhere, or before they restarted.
 */
import type { DurationMs, HostId, MonotonicMs, RequestId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Limit on the streams remembered; the oldest is dropped first. */
const MAX_STREAMS = 250_000
/** Interval of the search for streams that are over. */
const EXPIRY_INTERVAL_MS = 5_000

export type StreamOriginsMessage = Extract<FleetMessage, { kind: 'fleet.streamOrigins' | 'fleet.originAsk' }>

export interface StreamOriginsOptions {
  /** The versions in which a service ran within `maxAgeMs`; undefined if this host cannot tell. */
  readonly findVersions: (pool: string, maxAgeMs: DurationMs, context: RunContext) => readonly string[] | undefined
  /** Whether this host leads and no other host can lead. */
  readonly isLeading: (now: MonotonicMs) => boolean
}

export interface StreamOrigins {
  readonly receive: (from: HostId, message: StreamOriginsMessage, context: RunContext) => void
}

interface Stream {
  readonly softwareVersion: string
  readonly until: MonotonicMs
}

/** Last report in sequence from one entry host. */
interface Received {
  readonly epoch: number
  sequence: number
}

/** Creates an empty memory. */
export function createStreamOrigins ({ findVersions, isLeading }: StreamOriginsOptions): StreamOrigins {
  const streams = new Map<RequestId, Stream>()
  const receivedFrom = new Map<HostId, Received>()
  let expiredAt = Number.NEGATIVE_INFINITY

  function expire (now: MonotonicMs): void {
    if (now - expiredAt < EXPIRY_INTERVAL_MS && streams.size <= MAX_STREAMS) return
    expiredAt = now
    for (const [requestId, { until }] of streams) if (until < now || streams.size > MAX_STREAMS) streams.delete(requestId)
  }

  /** Keeps what is reported, and asks for earlier reports that are missing. */
  function receiveOrigins (from: HostId, { epoch, after, sequence, origins }: Extract<StreamOriginsMessage, { kind: 'fleet.streamOrigins' }>, context: RunContext): void {
    for (const [requestId, softwareVersion, keepMs] of origins) streams.set(requestId, { softwareVersion, until: context.now + keepMs })
    const known = receivedFrom.get(from)
    const received = known?.epoch === epoch ? known : { epoch, sequence: 0 }
    receivedFrom.set(from, received)
    if (after <= received.sequence) received.sequence = Math.max(received.sequence, sequence)
    else context.send(from, { kind: 'fleet.originsMissing', epoch, after: received.sequence })
    expire(context.now)
  }

  function receiveQuestion (from: HostId, { askId, requestId, pool, maxAgeMs }: Extract<StreamOriginsMessage, { kind: 'fleet.originAsk' }>, context: RunContext): void {
    const versions = pool === undefined || maxAgeMs === undefined ? undefined : findVersions(pool, maxAgeMs, context)
    context.send(from, { kind: 'fleet.originAnswer', askId, softwareVersion: streams.get(requestId)?.softwareVersion, ...(versions === undefined ? {} : { versions }), isLeading: isLeading(context.now) })
  }

  return {
    receive: (from, message, context) => {
      if (message.kind === 'fleet.streamOrigins') receiveOrigins(from, message, context)
      else receiveQuestion(from, message, context)
    }
  }
}
