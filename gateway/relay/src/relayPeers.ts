/** The peers to which this entry host forwards requests, with their connections: chosen by location, load and recent failures. */
import type { Clock } from '@catkinferry/core.clock'
import type { DurationMs, MonotonicMs } from '@catkinferry/core.types'
import type { RelayPeer } from '@catkinferry/wire.messages'
import { MAX_PEER_CONNECTIONS, PEER_PAUSE_MS, PEER_SILENCE_MS } from './constants.ts'
import { createEndpointLinks } from './endpointLinks.ts'
import type { EndpointLink } from './endpointLinks.ts'
import type { RelayLocation } from './relayOptions.ts'

/** Cost of a peer by its location, in requests in flight there. */
const OTHER_ZONE_COST = 2
const OTHER_REGION_COST = 8

export interface PeerLinks {
  /** The best peer that is not among those; undefined if there is none. */
  readonly choose: (excluded: ReadonlySet<string>) => EndpointLink | undefined
  readonly hasAny: () => boolean
  /** The peer gets no requests for a while. */
  readonly pause: (link: EndpointLink) => void
  /** This host read no sockets for so long: the time does not count as silence of peers. */
  readonly recordPause: (pauseMs: DurationMs) => void
  readonly sweep: () => void
  readonly close: () => void
}

export interface PeerLinksOptions {
  readonly clock: Clock
  readonly nextFraction: () => number
  readonly location: RelayLocation
  readonly listPeers: () => readonly RelayPeer[]
  readonly localIp?: string
}

export function createPeerLinks (opts: PeerLinksOptions): PeerLinks {
  const { clock, location, listPeers } = opts
  const links = createEndpointLinks({ clock, getEntryCount: () => 1, localIp: opts.localIp })
  const getLink = ({ address }: RelayPeer): EndpointLink => links.get(address, address, MAX_PEER_CONNECTIONS)

  function computeCost (peer: RelayPeer): number {
    const distance = peer.region !== location.region ? OTHER_REGION_COST : peer.zone !== location.zone ? OTHER_ZONE_COST : 0
    return getLink(peer).inFlight + distance + opts.nextFraction()
  }

  function isUsable (peer: RelayPeer, now: MonotonicMs): boolean {
    const { unreachableUntil, awaitingSince = now } = getLink(peer)
    return now >= unreachableUntil && now - awaitingSince <= PEER_SILENCE_MS
  }

  return {
    choose: excluded => {
      const now = clock.getMonotonicMs()
      const costs = listPeers().filter(peer => !excluded.has(peer.address) && isUsable(peer, now)).map(peer => ({ peer, cost: computeCost(peer) }))
      const [best] = costs.toSorted((a, b) => a.cost - b.cost)
      return best === undefined ? undefined : getLink(best.peer)
    },
    hasAny: () => listPeers().length > 0,
    pause: link => { link.unreachableUntil = clock.getMonotonicMs() + PEER_PAUSE_MS },
    recordPause: links.recordPause,
    sweep: links.sweep,
    close: links.close
  }
}
