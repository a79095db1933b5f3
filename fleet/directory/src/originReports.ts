/** Reports the streams that an entry host begins to core hosts while their service runs in several software versions, and again to core hosts that lack some. */
import type { HostId, MonotonicMs, RequestId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** Core hosts that are told of each stream: the loss of all but one of them loses none. */
const REPORTED_CORE_HOSTS = 3
const REPORT_INTERVAL_MS = 50
/** The same while there is nothing to report. */
const IDLE_REPORT_INTERVAL_MS = 1_000
/** Limit on the streams remembered; the oldest is dropped first. */
const MAX_STREAMS = 20_000

/** The software version at which a stream began. */
export interface StreamOrigin {
  readonly requestId: RequestId
  readonly pool: string
  readonly softwareVersion: string
  /** The stream cannot be resumed later than this. */
  readonly until: MonotonicMs
}

export interface OriginReports {
  readonly record: (origin: StreamOrigin, now: MonotonicMs) => void
  /** The version of a stream that this host began. */
  readonly get: (requestId: RequestId) => string | undefined
  readonly receiveMissing: (from: HostId, message: Extract<FleetMessage, { kind: 'fleet.originsMissing' }>) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
}

export interface OriginReportsOptions {
  /** Tells the reports of this start of the host from those of earlier ones. */
  readonly epoch: number
  readonly listCoreHosts: (now: MonotonicMs) => readonly HostId[]
  /** Whether a service runs, or ran lately, in several versions of its software. */
  readonly isMixed: (pool: string, now: MonotonicMs) => boolean
}

interface Reported extends StreamOrigin {
  readonly sequence: number
}

/** Creates empty reports. */
export function createOriginReports ({ epoch, listCoreHosts, isMixed }: OriginReportsOptions): OriginReports {
  let streams = new Map<RequestId, StreamOrigin>()
  let unreported: StreamOrigin[] = []
  let reported: Reported[] = []
  let sequence = 0
  /** Sequence up to which streams were reported to each core host. */
  const reportedUpTo = new Map<HostId, number>()
  let reportAt = Number.NEGATIVE_INFINITY

  function dropOld (now: MonotonicMs): void {
    if ([...streams.values()].every(({ until }) => until >= now) && streams.size <= MAX_STREAMS) return
    streams = new Map([...streams].filter(([, { until }]) => until >= now).slice(-MAX_STREAMS))
    const isKept = ({ requestId }: StreamOrigin): boolean => streams.has(requestId)
    unreported = unreported.filter(isKept)
    reported = reported.filter(isKept)
  }

  function reportTo (host: HostId, { now, send }: RunContext): void {
    const after = reportedUpTo.get(host) ?? 0
    if (after >= sequence) return
    reportedUpTo.set(host, sequence)
    const origins = reported.filter(row => row.sequence > after).map(({ requestId, softwareVersion, until }) => [requestId, softwareVersion, until - now] as const)
    send(host, { kind: 'fleet.streamOrigins', epoch, after, sequence, origins })
  }

  return {
    record: (origin, now) => {
      streams.set(origin.requestId, origin)
      unreported.push(origin)
      if (isMixed(origin.pool, now)) reportAt = Math.min(reportAt, now + REPORT_INTERVAL_MS)
    },
    get: requestId => streams.get(requestId)?.softwareVersion,
    receiveMissing: (from, message) => { if (message.epoch === epoch) reportedUpTo.set(from, Math.min(reportedUpTo.get(from) ?? 0, message.after)) },
    run: context => {
      const { now } = context
      if (streams.size === 0 || now < reportAt) return
      dropOld(now)
      const due = unreported.filter(({ pool }) => isMixed(pool, now))
      unreported = unreported.filter(({ pool }) => !isMixed(pool, now))
      for (const origin of due) reported.push({ ...origin, sequence: sequence += 1 })
      for (const host of listCoreHosts(now).toSorted().slice(0, REPORTED_CORE_HOSTS)) reportTo(host, context)
      reportAt = now + (due.length > 0 ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS)
    },
    getNextAt: () => streams.size === 0 ? Infinity : reportAt
  }
}
