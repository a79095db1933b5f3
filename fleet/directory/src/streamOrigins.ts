/** Software versions at which streams began, on an entry host, so that each goes on at the version that began it. Part of the directory. */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'
import type { DirectoryEndpoint } from './endpointTable.ts'
import { createOriginQuestions } from './originQuestions.ts'
import type { OriginQuestions } from './originQuestions.ts'
import { createOriginReports } from './originReports.ts'
import type { OriginReports, OriginReportsOptions } from './originReports.ts'
import { createSoftwareVersions } from './softwareVersions.ts'
import type { VersionHistory } from './softwareVersions.ts'

type StreamOriginsMessage = Extract<FleetMessage, { kind: 'fleet.originAnswer' | 'fleet.originsMissing' }>

export interface StreamOrigins extends Pick<OriginReports, 'record' | 'get'>, Pick<OriginQuestions, 'ask'> {
  /** Records the software versions of endpoints that are known now. */
  readonly recordVersions: (endpoints: Iterable<DirectoryEndpoint>, now: MonotonicMs) => void
  /** What this host knows by itself of the versions in which a service ran within `maxAgeMs`. */
  readonly getVersionHistory: (pool: string, maxAgeMs: DurationMs, now: MonotonicMs) => VersionHistory
  readonly receive: (message: StreamOriginsMessage, context: RunContext, from: HostId) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
}

export interface StreamOriginsOptions extends Pick<OriginReportsOptions, 'epoch' | 'listCoreHosts'> {
  readonly getLeader: (now: MonotonicMs) => HostId | undefined
  readonly listEndpoints: (pool: string) => readonly DirectoryEndpoint[]
  /** Whether the leader has sent endpoints. */
  readonly hasEndpoints: () => boolean
}

/** Creates an empty memory. */
export function createStreamOrigins ({ epoch, listCoreHosts, getLeader, listEndpoints, hasEndpoints }: StreamOriginsOptions): StreamOrigins {
  const versions = createSoftwareVersions()
  const isMixed = (pool: string, now: MonotonicMs): boolean => {
    versions.record(listEndpoints(pool), now)
    return versions.isMixed(pool, now)
  }
  const reports = createOriginReports({ epoch, listCoreHosts, isMixed })
  const questions = createOriginQuestions({ listCoreHosts, getLeader, onVersions: versions.recordAnswer })
  const isInContact = (now: MonotonicMs): boolean => {
    const leader = getLeader(now)
    return leader !== undefined && hasEndpoints() && listCoreHosts(now).includes(leader)
  }
  return {
    recordVersions: versions.record,
    getVersionHistory: (pool, maxAgeMs, now) => {
      versions.record(listEndpoints(pool), now)
      return versions.get(pool, maxAgeMs, now)
    },
    record: reports.record,
    get: reports.get,
    ask: questions.ask,
    receive: (message, { now }, from) => {
      if (message.kind === 'fleet.originAnswer') questions.receive(from, message, now)
      else reports.receiveMissing(from, message)
    },
    run: context => {
      versions.recordContact(isInContact(context.now), context)
      reports.run(context)
      questions.run(context)
    },
    getNextAt: () => Math.min(reports.getNextAt(), questions.getNextAt())
  }
}
