/**
 * Sends the digest of this zone's pools to one host of every other zone, whose hosts use it to route requests here. Runs
 * periodically on the lease holder.
 */
import type { HostLocation, MonotonicMs, PeerRow, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { ZoneDigest } from '@catkinferry/wire.messages'
import { buildDigest } from '@catkinferry/zone.membership'
import type { ZoneDigests, ZoneTable } from '@catkinferry/zone.membership'

const DIGEST_INTERVAL_MS = 1_000
/** An unchanged digest is resent after this many intervals. */
const UNCHANGED_RESEND_INTERVALS = 5

export interface DigestSender {
  readonly begin: () => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs | undefined
}

export interface DigestSenderOptions {
  readonly self: HostLocation
  readonly peers: readonly PeerRow[]
  readonly table: ZoneTable
  readonly digests: ZoneDigests
}

/** Creates a sender for all other zones of the deployment. */
export function createDigestSender (opts: DigestSenderOptions): DigestSender {
  const { self, peers, table, digests } = opts
  const zones = [...new Set(peers.map(({ zone }) => zone))].filter(zone => zone !== self.zone)
  const turns = new Map<ZoneId, number>()
  let nextAt = 0
  let lastText = ''
  let repeats = 0

  /** Sends to the known contact of each zone, or to its hosts in turn while no contact is known. */
  function sendDigest (digest: ZoneDigest, context: RunContext): void {
    for (const zone of zones) {
      const hosts = peers.filter(peer => peer.zone === zone)
      const turn = (turns.get(zone) ?? -1) + 1
      turns.set(zone, turn)
      const to = digests.getContact(zone, context.now) ?? hosts[turn % hosts.length]?.host
      if (to !== undefined) context.send(to, { kind: 'member.digest', digest })
    }
  }

  return {
    begin: () => { lastText = '' },
    run: context => {
      if (zones.length === 0 || nextAt > context.now) return
      nextAt = context.now + DIGEST_INTERVAL_MS
      const digest = buildDigest({ zone: self.zone, contact: self.host, sequence: Math.floor(context.wallNow), pools: table.listPools(), listViews: pool => table.listViews(pool) })
      const text = JSON.stringify(digest.pools)
      repeats = text === lastText ? repeats + 1 : 0
      lastText = text
      if (repeats % UNCHANGED_RESEND_INTERVALS === 0) sendDigest(digest, context)
    },
    getNextAt: () => zones.length === 0 ? undefined : nextAt
  }
}
