/** The replicated audit trail: one entry for each accepted or refused change, oldest dropped first. */
import type { Failure } from '@catkinferry/core.errors'
import type { ChangeId, ClaimKey, NodePath, OperatorIdentity, WallMs } from '@catkinferry/core.types'

/** One node of an audited change. `after` is absent for a removal, `before` for a creation. */
export interface AuditedNode {
  readonly path: NodePath
  readonly before?: Readonly<Record<string, unknown>>
  readonly after?: Readonly<Record<string, unknown>>
}

/** Who changed what, when, from where, and how it ended. */
export interface AuditEntry {
  readonly sequence: number
  /** Time by the leader's wall clock. */
  readonly at: WallMs
  readonly operator: OperatorIdentity
  readonly changeId: ChangeId
  readonly outcome: 'accepted' | 'refused'
  readonly nodes: readonly AuditedNode[]
  /** Revision that the change made; accepted settings changes only. */
  readonly revision?: number
  readonly failure?: Failure
  /** Nodes as they were, where a change was refused for its expected revisions. */
  readonly current?: unknown
  /** The claim, where an operator resolved one. */
  readonly claim?: { readonly claimKey: ClaimKey, readonly resolution: string, readonly note: string }
}

/** An entry before it has its number. */
export type NewAuditEntry = Omit<AuditEntry, 'sequence'>

/** A page of the trail. `firstSequence` beyond the one asked for shows that older entries were dropped. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[]
  /** Ask on after this; moves on also where no entry matched. */
  readonly nextAfter: number
  readonly firstSequence: number
  readonly lastSequence: number
}

/** An entry in store: its JSON, and the revision of the state after it. */
export interface StoredAuditEntry {
  readonly at: WallMs
  readonly revisionAfter: number
  readonly json: string
}

export interface SavedAudit {
  readonly firstSequence: number
  readonly entries: readonly StoredAuditEntry[]
}

export interface AuditTrail {
  /** Adds an entry and gives its sequence. */
  readonly add: (entry: NewAuditEntry, revisionAfter: number) => number
  readonly get: (sequence: number) => AuditEntry | undefined
  readonly expire: (now: WallMs, bounds: { retentionMs: number, keptBytes: number }) => void
  readonly list: (opts: { afterSequence: number, limit: number, path?: NodePath, who?: string }) => AuditPage
  /** Accepted settings changes after a revision that are still kept, oldest first. */
  readonly listAcceptedAfter: (revision: number) => AuditEntry[]
  readonly getBytes: () => number
  readonly save: () => SavedAudit
  readonly load: (saved: SavedAudit) => void
}

/** Entries that one page looks at. */
const MAX_SCANNED = 2_000
const COMPACT_AT = 1_024

function matches (entry: AuditEntry, opts: { path?: NodePath, who?: string }): boolean {
  const { path, who } = opts
  if (who !== undefined && entry.operator.name !== who) return false
  return path === undefined || entry.nodes.some(node => node.path === path || node.path.startsWith(`${path}/`))
}

/** Creates an empty trail. */
export function createAuditTrail (): AuditTrail {
  let entries: StoredAuditEntry[] = []
  /** Entries before this index were dropped. */
  let head = 0
  let firstSequence = 1
  let bytes = 0

  function getLastSequence (): number {
    return firstSequence + entries.length - head - 1
  }

  function dropFirst (): void {
    bytes -= entries[head]!.json.length
    head++
    firstSequence++
    if (head < COMPACT_AT || head * 2 < entries.length) return
    entries = entries.slice(head)
    head = 0
  }

  function read (sequence: number): AuditEntry {
    return JSON.parse(entries[head + sequence - firstSequence]!.json) as AuditEntry
  }

  /** The first sequence whose entry left the state at a revision above `revision`. */
  function findFirstAbove (revision: number): number {
    let low = firstSequence
    let high = getLastSequence() + 1
    while (low < high) {
      const middle = Math.floor((low + high) / 2)
      if (entries[head + middle - firstSequence]!.revisionAfter > revision) high = middle
      else low = middle + 1
    }
    return low
  }

  function listAcceptedAfter (revision: number): AuditEntry[] {
    const found: AuditEntry[] = []
    for (let sequence = findFirstAbove(revision); sequence <= getLastSequence(); sequence++) {
      const entry = read(sequence)
      if (entry.revision !== undefined) found.push(entry)
    }
    return found
  }

  return {
    add: (entry, revisionAfter) => {
      const sequence = getLastSequence() + 1
      const json = JSON.stringify({ sequence, ...entry })
      entries.push({ at: entry.at, revisionAfter, json })
      bytes += json.length
      return sequence
    },
    get: sequence => sequence < firstSequence || sequence > getLastSequence() ? undefined : read(sequence),
    expire: (now, bounds) => {
      while (head < entries.length && (entries[head]!.at + bounds.retentionMs <= now || bytes > bounds.keptBytes)) dropFirst()
    },
    list: opts => {
      const found: AuditEntry[] = []
      let sequence = Math.max(opts.afterSequence + 1, firstSequence)
      const end = Math.min(getLastSequence(), sequence + MAX_SCANNED - 1)
      for (; sequence <= end && found.length < opts.limit; sequence++) {
        const entry = read(sequence)
        if (matches(entry, opts)) found.push(entry)
      }
      return { entries: found, nextAfter: sequence - 1, firstSequence, lastSequence: getLastSequence() }
    },
    listAcceptedAfter,
    getBytes: () => bytes,
    save: () => ({ firstSequence, entries: entries.slice(head) }),
    load: saved => {
      entries = [...saved.entries]
      head = 0
      firstSequence = saved.firstSequence
      bytes = entries.reduce((sum, entry) => sum + entry.json.length, 0)
    }
  }
}
