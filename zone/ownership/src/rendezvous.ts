/** Rendezvous hashing of endpoints to hosts with bounded load, for the assigner when it assigns endpoints and rebalances. */
import type { EndpointId, HostId } from '@catkinferry/core.types'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
/** Limit of a host's endpoints, as a multiple of its even share. */
const LOAD_BOUND = 1.25

/** FNV-1a followed by the final mixing of MurmurHash3, so that all 32 bits depend on every character. */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Computes the maximum number of endpoints per host. */
export function computeOwnerLimit (endpointCount: number, hostCount: number): number {
  return Math.ceil(LOAD_BOUND * endpointCount / Math.max(1, hostCount))
}

/** Chooses the host with the highest hash for the endpoint among those below the limit. */
export function chooseOwner (opts: {
  readonly endpoint: EndpointId
  readonly hosts: readonly HostId[]
  readonly limit: number
  readonly getCount: (host: HostId) => number
}): HostId | undefined {
  let best: HostId | undefined
  let bestHash = -1
  for (const host of opts.hosts) {
    if (opts.getCount(host) >= opts.limit) continue
    const hash = hashText(`${opts.endpoint}|${host}`)
    if (hash > bestHash) {
      best = host
      bestHash = hash
    }
  }
  return best
}
