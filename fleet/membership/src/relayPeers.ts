/**
 * Entry hosts to which others may forward requests. The leader names a few to each entry host at intervals, others each time, so
 * that the cost does not grow with the size of the fleet. An entry host keeps what it was told while it knows no leader.
 */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RelayPeer } from '@catkinferry/wire.messages'
import { MAX_RELAY_PEERS, RELAY_PEERS_ELSEWHERE, RELAY_PEERS_INTERVAL_MS, RELAY_PEERS_SAME_REGION, RELAY_PEERS_SAME_ZONE } from './constants.ts'
import type { FleetPeer } from './fleetMembership.ts'

export interface RelayPeerAnnouncer {
  /** Peers to name to an entry host now; undefined if it was told recently. */
  readonly choose: (to: FleetPeer, entryHosts: readonly FleetPeer[], now: MonotonicMs) => readonly RelayPeer[] | undefined
  readonly drop: (host: HostId) => void
}

/** Creates the announcer of a core host. */
export function createRelayPeerAnnouncer (): RelayPeerAnnouncer {
  const sentAt = new Map<HostId, MonotonicMs>()
  let rotation = 0

  return {
    choose: (to, entryHosts, now) => {
      if (now - (sentAt.get(to.host) ?? Number.NEGATIVE_INFINITY) < RELAY_PEERS_INTERVAL_MS) return undefined
      sentAt.set(to.host, now)
      const others = entryHosts.filter(({ host, relayAddress }) => host !== to.host && relayAddress !== undefined)
      if (others.length === 0) return []
      rotation = (rotation + 1) % others.length
      const rotated = [...others.slice(rotation), ...others.slice(0, rotation)]
      const sameZone = rotated.filter(({ zone }) => zone === to.zone)
      const sameRegion = rotated.filter(({ zone, region }) => zone !== to.zone && region === to.region)
      const elsewhere = rotated.filter(({ region }) => region !== to.region)
      const chosen = [...sameZone.slice(0, RELAY_PEERS_SAME_ZONE), ...sameRegion.slice(0, RELAY_PEERS_SAME_REGION), ...elsewhere.slice(0, RELAY_PEERS_ELSEWHERE)]
      const places = RELAY_PEERS_SAME_ZONE + RELAY_PEERS_SAME_REGION + RELAY_PEERS_ELSEWHERE
      const rest = [...sameZone, ...sameRegion, ...elsewhere].filter(peer => !chosen.includes(peer))
      return [...chosen, ...rest].slice(0, places).map(({ relayAddress = '', zone, region }) => ({ address: relayAddress, zone, region }))
    },
    drop: host => { sentAt.delete(host) }
  }
}

export interface KnownRelayPeers {
  readonly receive: (peers: readonly RelayPeer[]) => void
  readonly list: () => readonly RelayPeer[]
}

/** Creates the table of an entry host. */
export function createKnownRelayPeers (): KnownRelayPeers {
  const known = new Map<string, RelayPeer>()
  return {
    receive: peers => {
      for (const peer of peers) {
        known.delete(peer.address)
        known.set(peer.address, peer)
      }
      for (const address of known.keys()) {
        if (known.size <= MAX_RELAY_PEERS) return
        known.delete(address)
      }
    },
    list: () => [...known.values()]
  }
}
