/** Caches effective values of fleet paths, which a host reads on every request. A change clears only the paths at and below its node. */
import type { NodePath } from '@catkinferry/core.types'

/** Maximum number of cached paths; the cache is cleared when a further one is read. */
const MAX_CACHED_PATHS = 256

export interface EffectiveCache {
  readonly get: (path: NodePath, key: string, compute: () => unknown) => unknown
  /** Removes the cached values of this path and of all paths below it. */
  readonly clearBelow: (path: NodePath) => void
}

/** Creates an empty cache. */
export function createEffectiveCache (): EffectiveCache {
  const byPath = new Map<NodePath, Map<string, unknown>>()

  function getValues (path: NodePath): Map<string, unknown> {
    const known = byPath.get(path)
    if (known !== undefined) return known
    if (byPath.size >= MAX_CACHED_PATHS) byPath.clear()
    const created = new Map<string, unknown>()
    byPath.set(path, created)
    return created
  }

  return {
    get: (path, key, compute) => {
      if (!path.startsWith('fleet')) return compute()
      const values = getValues(path)
      const known = values.get(key)
      if (known !== undefined) return known
      const value = compute()
      values.set(key, value)
      return value
    },
    clearBelow: path => {
      if (!path.startsWith('fleet')) return
      for (const cached of byPath.keys()) {
        if (cached === path || cached.startsWith(`${path}/`)) byPath.delete(cached)
      }
    }
  }
}
