/**
 * The digests (capacity per pool) of other zones that a host has received, which its router reads to send requests to other
 * zones, and the building of its own zone's digest, on the lease holder before each sending.
 */
import type { EndpointView, HostId, MonotonicMs, PeerRow, RegionId, ZoneId, ZoneSummary } from '@catkinferry/core.types'
import type { ZoneDigest } from '@catkinferry/wire.messages'

/** Digests older than this are ignored. */
const MAX_DIGEST_AGE_MS = 15_000

export interface ZoneDigests {
  /** Returns true when the digest is newer than the one known. */
  readonly applyDigest: (digest: ZoneDigest, now: MonotonicMs) => boolean
  /** The host that sent the zone's digest; undefined when the digest is too old. */
  readonly getContact: (zone: ZoneId, now: MonotonicMs) => HostId | undefined
  /** Summaries of the zones that have the pool, those of the own region first. */
  readonly listSummaries: (pool: string, now: MonotonicMs) => readonly ZoneSummary[]
  readonly list: () => readonly ZoneDigest[]
}

/** Builds the digest of a zone from the states of its endpoints. */
export function buildDigest (opts: { readonly zone: ZoneId, readonly contact: HostId, readonly sequence: number, readonly pools: readonly string[], readonly listViews: (pool: string) => readonly EndpointView[] }): ZoneDigest {
  const pools = opts.pools.map(pool => {
    let freeCapacity = 0
    let queueMs = 0
    for (const view of opts.listViews(pool)) {
      if (view.leaving) continue
      freeCapacity += Math.max(0, view.batchLimit - view.running - view.waiting)
      if (view.batchLimit > 0) queueMs = Math.max(queueMs, view.waiting * view.expectedRunMs / view.batchLimit)
    }
    return { pool, freeCapacity, queueMs: Math.round(queueMs) }
  })
  return { zone: opts.zone, contact: opts.contact, sequence: opts.sequence, pools }
}

/** Creates an empty table. */
export function createZoneDigests (opts: { readonly region: RegionId, readonly peers: readonly PeerRow[] }): ZoneDigests {
  const known = new Map<ZoneId, { readonly digest: ZoneDigest, readonly at: MonotonicMs }>()
  const regions = new Map(opts.peers.map(({ zone, region }) => [zone, region]))

  function compareZones (a: ZoneId, b: ZoneId): number {
    const near = Number(regions.get(b) === opts.region) - Number(regions.get(a) === opts.region)
    return near !== 0 ? near : a.localeCompare(b)
  }

  return {
    applyDigest: (digest, now) => {
      const old = known.get(digest.zone)
      const expired = old === undefined || now - old.at > MAX_DIGEST_AGE_MS
      if (!expired && old.digest.sequence >= digest.sequence) return false
      known.set(digest.zone, { digest, at: now })
      return true
    },
    getContact: (zone, now) => {
      const entry = known.get(zone)
      return entry !== undefined && now - entry.at <= MAX_DIGEST_AGE_MS ? entry.digest.contact : undefined
    },
    listSummaries: (pool, now) => {
      const summaries: ZoneSummary[] = []
      for (const zone of [...known.keys()].sort(compareZones)) {
        const entry = known.get(zone)
        const part = entry?.digest.pools.find(candidate => candidate.pool === pool)
        if (entry === undefined || part === undefined || now - entry.at > MAX_DIGEST_AGE_MS) continue
        const { freeCapacity, queueMs } = part
        summaries.push({ zone, region: regions.get(zone) ?? '', contact: entry.digest.contact, freeCapacity, queueMs, ageMs: now - entry.at })
      }
      return summaries
    },
    list: () => [...known.values()].map(({ digest }) => digest)
  }
}
