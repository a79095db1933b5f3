/** The replicated audit trail: one entry for each accepted or refused change, oldest dropped first. */
import type { Failure } from '@catkinferry/core.errors'
import type { ChangeId, ClaimKey, NodePath, OperatorIdentity, WallMs } from '@catkinferry/core.types'
import { createEntryBlocks } from './entryBlocks.ts'
import type { SavedBlocks } from './entryBlocks.ts'

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

/** What is held of an entry beside its text. */
interface EntryRow {
  readonly at: WallMs
  /** Revision of the state after it. */
  readonly revisionAfter: number
  /** Characters of its text. */
  readonly length: number
}

export interface SavedAudit {
  readonly firstSequence: number
  /** Time, revision after and length of each entry, one after the other. */
  readonly rows: readonly number[]
  readonly texts: SavedBlocks
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

/** The first number from `low` up to `high` for which `holds` is true; it must stay true from there on. */
function findFirst (low: number, high: number, holds: (value: number) => boolean): number {
  let from = low
  let to = high
  while (from < to) {
    const middle = Math.floor((from + to) / 2)
    if (holds(middle)) to = middle
    else from = middle + 1
  }
  return from
}

const ROW_FIELDS = 3

function loadRows (saved: readonly number[]): EntryRow[] {
  return Array.from({ length: saved.length / ROW_FIELDS }, (_, index) => {
    const [at, revisionAfter, length] = saved.slice(index * ROW_FIELDS, (index + 1) * ROW_FIELDS)
    return { at: at!, revisionAfter: revisionAfter!, length: length! }
  })
}

/** Creates an empty trail. */
export function createAuditTrail (): AuditTrail {
  let rows: EntryRow[] = []
  /** Rows before this index were dropped. */
  let head = 0
  let firstSequence = 1
  let bytes = 0
  const texts = createEntryBlocks()

  function getLastSequence (): number {
    return firstSequence + rows.length - head - 1
  }

  function getRow (sequence: number): EntryRow {
    return rows[head + sequence - firstSequence]!
  }

  function dropFirst (): void {
    bytes -= rows[head]!.length
    head++
    firstSequence++
    if (head < COMPACT_AT || head * 2 < rows.length) return
    rows = rows.slice(head)
    head = 0
  }

  function read (sequence: number): AuditEntry {
    return JSON.parse(texts.get(sequence)) as AuditEntry
  }

  function listAcceptedAfter (revision: number): AuditEntry[] {
    const found: AuditEntry[] = []
    const first = findFirst(firstSequence, getLastSequence() + 1, sequence => getRow(sequence).revisionAfter > revision)
    for (let sequence = first; sequence <= getLastSequence(); sequence++) {
      const entry = read(sequence)
      if (entry.revision !== undefined) found.push(entry)
    }
    return found
  }

  function list (opts: { afterSequence: number, limit: number, path?: NodePath, who?: string }): AuditPage {
    const found: AuditEntry[] = []
    let sequence = Math.max(opts.afterSequence + 1, firstSequence)
    const end = Math.min(getLastSequence(), sequence + MAX_SCANNED - 1)
    for (; sequence <= end && found.length < opts.limit; sequence++) {
      const entry = read(sequence)
      if (matches(entry, opts)) found.push(entry)
    }
    return { entries: found, nextAfter: sequence - 1, firstSequence, lastSequence: getLastSequence() }
  }

  return {
    add: (entry, revisionAfter) => {
      const sequence = getLastSequence() + 1
      const text = JSON.stringify({ sequence, ...entry })
      rows.push({ at: entry.at, revisionAfter, length: text.length })
      texts.add(text)
      bytes += text.length
      return sequence
    },
    get: sequence => sequence < firstSequence || sequence > getLastSequence() ? undefined : read(sequence),
    expire: (now, bounds) => {
      const first = firstSequence
      while (head < rows.length && (rows[head]!.at + bounds.retentionMs <= now || bytes > bounds.keptBytes)) dropFirst()
      if (firstSequence > first) texts.dropBelow(firstSequence)
    },
    list,
    listAcceptedAfter,
    getBytes: () => bytes,
    save: () => ({
      firstSequence,
      rows: rows.slice(head).flatMap(({ at, revisionAfter, length }) => [at, revisionAfter, length]),
      texts: texts.save()
    }),
    load: saved => {
      rows = loadRows(saved.rows)
      head = 0
      bytes = rows.reduce((sum, row) => sum + row.length, 0)
      firstSequence = saved.firstSequence
      texts.load(saved.texts)
    }
  }
}
