/**
 * Software versions that each service ran in, by the endpoints that an entry host knew and the answers of core hosts, and for how
 * long this host has known them without a gap.
 */
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { UNREPORTED_VERSION } from '@catkinferry/wire.messages'
import type { DirectoryEndpoint } from './endpointTable.ts'

/** A version counts for this long after its last endpoint is gone: streams that began there may still be resumed. */
export const SEEN_VERSION_RETENTION_MS = 300_000
/** A host that did not run for longer, by one of its clocks, may have missed a version. Silent core hosts count as lost after the same time. */
const MAX_RUN_GAP_MS = 2_500

/** What this host knows by itself of the versions in service within some time. */
export interface VersionHistory {
  /** Contains `UNREPORTED_VERSION` for endpoints whose version the platform does not report. */
  readonly versions: readonly string[]
  /** This host was in contact with the leader all the time, or a core host has told it of the time before. */
  readonly isWhole: boolean
  /** False if this host has seen endpoints of the service, and the platform reports the version of none. */
  readonly areVersionsReported: boolean
}

export interface SoftwareVersions {
  /** Records the versions of all endpoints that are known now. */
  readonly record: (endpoints: Iterable<DirectoryEndpoint>, now: MonotonicMs) => void
  /** Records on each run of the host whether it is in contact with the leader and has endpoints from it. */
  readonly recordContact: (isInContact: boolean, context: Pick<RunContext, 'now' | 'wallNow'>) => void
  /** Records what a core host has answered to a question asked at `askedAt`. */
  readonly recordAnswer: (answer: AnsweredVersions) => void
  /** Whether the service ran in several versions lately. */
  readonly isMixed: (pool: string, now: MonotonicMs) => boolean
  readonly get: (pool: string, maxAgeMs: DurationMs, now: MonotonicMs) => VersionHistory
}

export interface AnsweredVersions {
  readonly pool: string
  readonly versions: readonly string[]
  readonly maxAgeMs: DurationMs
  readonly askedAt: MonotonicMs
}

/** Creates an empty history. */
export function createSoftwareVersions (): SoftwareVersions {
  /** When each version was last known to run, by pool. */
  const seenAt = new Map<string, Map<string, MonotonicMs>>()
  const answers = new Map<string, AnsweredVersions>()
  /** Since when this host has been in contact with the leader; undefined while it is not. */
  let contactSince: MonotonicMs | undefined
  let lastRun: Pick<RunContext, 'now' | 'wallNow'> | undefined

  function listSeen (pool: string, maxAgeMs: DurationMs, now: MonotonicMs): string[] {
    return [...seenAt.get(pool) ?? []].filter(([, at]) => now - at <= maxAgeMs).map(([version]) => version)
  }

  return {
    record: (endpoints, now) => {
      for (const { pool, softwareVersion = UNREPORTED_VERSION } of endpoints) {
        const versions = seenAt.get(pool) ?? new Map<string, MonotonicMs>()
        seenAt.set(pool, versions.set(softwareVersion, now))
      }
    },
    recordContact: (isInContact, { now, wallNow }) => {
      // A suspension of the machine stops the monotonic clock, but not the other.
      const hasPaused = lastRun !== undefined && Math.max(now - lastRun.now, Math.abs(wallNow - lastRun.wallNow)) > MAX_RUN_GAP_MS
      lastRun = { now, wallNow }
      if (hasPaused || !isInContact) contactSince = undefined
      if (isInContact) contactSince ??= now
    },
    recordAnswer: answer => {
      const known = answers.get(answer.pool)
      const isKnownBetter = known !== undefined && contactSince !== undefined && known.askedAt >= contactSince && known.askedAt - known.maxAgeMs <= answer.askedAt - answer.maxAgeMs
      if (!isKnownBetter) answers.set(answer.pool, answer)
    },
    isMixed: (pool, now) => listSeen(pool, SEEN_VERSION_RETENTION_MS, now).length > 1,
    get: (pool, maxAgeMs, now) => {
      const seen = listSeen(pool, maxAgeMs, now)
      const told = answers.get(pool)
      const isToldSinceContact = contactSince !== undefined && told !== undefined && told.askedAt >= contactSince && told.askedAt - told.maxAgeMs <= now - maxAgeMs
      const isWhole = contactSince !== undefined && (now - contactSince >= maxAgeMs || isToldSinceContact)
      const earlier = isToldSinceContact && now - told.askedAt <= maxAgeMs ? told.versions : []
      return { versions: [...new Set([...seen, ...earlier])].sort(), isWhole, areVersionsReported: seen.length === 0 || seen.some(version => version !== UNREPORTED_VERSION) }
    }
  }
}
