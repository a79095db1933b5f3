/** Prompt parts and whole requests that crash endpoints; requests with one of these traits are refused. Part of the replicated state, so that the knowledge outlives every process. */
import type { RequestTrait, WallMs } from '@catkinferry/core.types'

/** Limit on the traits; the oldest is dropped first. */
const MAX_PARTS = 256

export interface QuarantinedPart {
  readonly part: RequestTrait
  /** When it was quarantined, by the clock of the log. */
  readonly at: WallMs
}

export interface SavedQuarantine {
  readonly revision: number
  readonly parts: ReadonlyArray<readonly [RequestTrait, WallMs]>
}

export interface QuarantinedParts {
  readonly add: (part: RequestTrait, at: WallMs) => void
  readonly remove: (part: RequestTrait) => void
  readonly list: () => readonly QuarantinedPart[]
  /** Increases with each change. */
  readonly getRevision: () => number
  readonly save: () => SavedQuarantine
  readonly load: (saved: SavedQuarantine) => void
}

/** Creates an empty table. */
export function createQuarantinedParts (): QuarantinedParts {
  let rows = new Map<RequestTrait, WallMs>()
  let revision = 0
  return {
    add: (part, at) => {
      if (rows.has(part)) return
      rows.set(part, at)
      const [oldest] = rows.size > MAX_PARTS ? rows.keys() : []
      if (oldest !== undefined) rows.delete(oldest)
      revision += 1
    },
    remove: part => { if (rows.delete(part)) revision += 1 },
    list: () => [...rows].map(([part, at]) => ({ part, at })),
    getRevision: () => revision,
    save: () => ({ revision, parts: [...rows] }),
    load: saved => {
      rows = new Map(saved.parts)
      revision = saved.revision
    }
  }
}
