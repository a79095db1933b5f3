/**
 * Software versions in which each service of the platform runs, and until when it ran in others. Part of the replicated state, so
 * that hosts can tell after any restart at which versions a stream can have begun.
 */
import type { DurationMs, WallMs } from '@catkinferry/core.types'

/** Versions that left longer ago are dropped. Far longer than any stream lasts; the answer to a longer period is that it is not known. */
export const RECORDED_VERSION_RETENTION_MS: DurationMs = 3_600_000
/** Limit on the versions of one service that have left; the one that left first is dropped first. */
const MAX_LEFT_VERSIONS = 64
/** A record that begins so soon after the first route table covers all streams: the first leader of a new fleet needs about a second to learn that all voters can apply the command. */
const WHOLE_RECORD_DELAY_MS: DurationMs = 5_000

export interface ServiceVersion {
  /** Empty for endpoints of which the platform tells no version. */
  readonly softwareVersion: string
  /** When it was last in service, by the clock of the log; undefined while it is. */
  readonly leftAt?: WallMs
}

interface SavedPool {
  readonly pool: string
  readonly knownSince: WallMs
  readonly versions: ReadonlyArray<readonly [string, WallMs | null]>
}

export interface SavedServiceVersions {
  readonly servingSince: WallMs | null
  readonly recordedSince: WallMs | null
  readonly pools: readonly SavedPool[]
}

export interface ServiceVersions {
  /** Records that the first route table takes effect: no stream began before. */
  readonly recordServing: (now: WallMs) => void
  /** Replaces the versions in service; the others of the service have left now. */
  readonly replace: (pool: string, versions: readonly string[], now: WallMs) => void
  readonly list: (pool: string) => readonly ServiceVersion[]
  /** Services with a version that is or was in service. */
  readonly listPools: () => readonly string[]
  /** From when on no version is missing for a service; 0 if none ever was in service unrecorded, undefined if nothing is recorded. */
  readonly getKnownSince: (pool: string) => WallMs | undefined
  readonly expire: (now: WallMs) => void
  readonly save: () => SavedServiceVersions
  readonly load: (saved: SavedServiceVersions) => void
}

interface PoolRow {
  knownSince: WallMs
  versions: Map<string, WallMs | undefined>
}

/** Creates an empty table. */
export function createServiceVersions (): ServiceVersions {
  let pools = new Map<string, PoolRow>()
  let servingSince: WallMs | undefined
  let recordedSince: WallMs | undefined
  let expireAt: WallMs = Infinity

  function findExpireAt (): WallMs {
    const left = [...pools.values()].flatMap(({ versions }) => [...versions.values()]).filter(at => at !== undefined)
    return left.reduce((least, at) => Math.min(least, at + RECORDED_VERSION_RETENTION_MS), Infinity)
  }

  /** Drops the versions that left first. What the service ran in before is not known any more. */
  function trim (row: PoolRow): void {
    const left = [...row.versions].filter((entry): entry is [string, WallMs] => entry[1] !== undefined).sort(([, a], [, b]) => a - b)
    for (const [version, at] of left.slice(0, Math.max(0, left.length - MAX_LEFT_VERSIONS))) {
      row.versions.delete(version)
      row.knownSince = Math.max(row.knownSince, at)
    }
  }

  return {
    recordServing: now => { servingSince ??= now },
    replace: (pool, versions, now) => {
      recordedSince ??= servingSince === undefined || now - servingSince <= WHOLE_RECORD_DELAY_MS ? 0 : now
      const row = pools.get(pool) ?? { knownSince: 0, versions: new Map<string, WallMs | undefined>() }
      pools.set(pool, row)
      for (const [version, leftAt] of row.versions) if (leftAt === undefined) row.versions.set(version, now)
      for (const version of versions) row.versions.set(version, undefined)
      trim(row)
      expireAt = findExpireAt()
    },
    list: pool => [...pools.get(pool)?.versions ?? []].map(([softwareVersion, leftAt]) => leftAt === undefined ? { softwareVersion } : { softwareVersion, leftAt }),
    listPools: () => [...pools.keys()],
    getKnownSince: pool => recordedSince === undefined ? undefined : Math.max(recordedSince, pools.get(pool)?.knownSince ?? 0),
    expire: now => {
      if (now <= expireAt) return
      for (const [pool, { versions }] of pools) {
        for (const [version, leftAt] of versions) if (leftAt !== undefined && now - leftAt > RECORDED_VERSION_RETENTION_MS) versions.delete(version)
        if (versions.size === 0) pools.delete(pool)
      }
      expireAt = findExpireAt()
    },
    save: () => ({
      servingSince: servingSince ?? null,
      recordedSince: recordedSince ?? null,
      pools: [...pools].map(([pool, { knownSince, versions }]) => ({ pool, knownSince, versions: [...versions].map(([version, leftAt]) => [version, leftAt ?? null] as const) }))
    }),
    load: saved => {
      servingSince = saved.servingSince ?? undefined
      recordedSince = saved.recordedSince ?? undefined
      pools = new Map(saved.pools.map(({ pool, knownSince, versions }) => [pool, { knownSince, versions: new Map(versions.map(([version, leftAt]) => [version, leftAt ?? undefined])) }]))
      expireAt = findExpireAt()
    }
  }
}
