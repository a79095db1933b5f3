/** Rendezvous (highest random weight) hashing with 32-bit integers: a key belongs to the node with the highest weight. */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** FNV-1a hash of a string, as an unsigned 32-bit integer. */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  }
  return hash >>> 0
}

/** Weight of a key at a node, computed from the hashes of both, as an unsigned 32-bit integer. */
export function computeWeight (keyHash: number, nodeHash: number): number {
  let hash = keyHash ^ Math.imul(nodeHash, 0x9e3779b1)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
