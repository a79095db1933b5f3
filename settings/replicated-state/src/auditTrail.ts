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
  /** Settings revision that the change created; accepted settings changes only. */
  readonly revision?: number
  readonly failure?: Failure
  /** Current nodes, if the change was refused because their revisions differ from the expected ones. */
  readonly current?: unknown
  /** The claim, if the change resolved one. */
  readonly claim?: { readonly claimKey: ClaimKey, readonly resolution: string, readonly note: string }
}

/** An entry that has no sequence yet. */
export type NewAuditEntry = Omit<AuditEntry, 'sequence'>

/** A page of the trail. A `firstSequence` above the requested sequence shows that older entries were dropped. */
export interface AuditPage {
  readonly entries: readonly AuditEntry[]
  /** `afterSequence` of the next page; it advances even if no entry matched. */
  readonly nextAfter: number
  readonly firstSequence: number
  readonly lastSequence: number
}

/** What is kept of an entry in addition to its text. */
interface EntryRow {
  readonly at: WallMs
  /** Settings revision after the entry. */
  readonly revisionAfter: number
  /** Length of the text, in characters. */
  readonly length: number
}

export interface SavedAudit {
  readonly firstSequence: number
  /** `at`, `revisionAfter` and `length` of each entry, flattened. */
  readonly rows: readonly number[]
  readonly texts: SavedBlocks
}

export interface AuditTrail {
  /** Adds an entry and returns its sequence. */
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

/** Most entries that are read for one page. */
const MAX_SCANNED_ENTRIES = 2_000
const MIN_DROPPED_ROWS_TO_COMPACT = 1_024

function matchesFilter (entry: AuditEntry, opts: { path?: NodePath, who?: string }): boolean {
  const { path, who } = opts
  if (who !== undefined && entry.operator.name !== who) return false
  return path === undefined || entry.nodes.some(node => node.path === path || node.path.startsWith(`${path}/`))
}

/** Binary search for the first number from `low` to `high` for which `predicate` is true. It must be true for all larger numbers too. */
function findFirst (low: number, high: number, predicate: (value: number) => boolean): number {
  let from = low
  let to = high
  while (from < to) {
    const middle = Math.floor((from + to) / 2)
    if (predicate(middle)) to = middle
    else from = middle + 1
  }
  return from
}

/** Numbers of each entry in the flattened rows. */
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
  let firstRowIndex = 0
  let firstSequence = 1
  let bytes = 0
  const texts = createEntryBlocks()

  function getLastSequence (): number {
    return firstSequence + rows.length - firstRowIndex - 1
  }

  function getRow (sequence: number): EntryRow {
    return rows[firstRowIndex + sequence - firstSequence]!
  }

  function dropOldest (): void {
    bytes -= rows[firstRowIndex]!.length
    firstRowIndex++
    firstSequence++
    if (firstRowIndex < MIN_DROPPED_ROWS_TO_COMPACT || firstRowIndex * 2 < rows.length) return
    rows = rows.slice(firstRowIndex)
    firstRowIndex = 0
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
    const end = Math.min(getLastSequence(), sequence + MAX_SCANNED_ENTRIES - 1)
    for (; sequence <= end && found.length < opts.limit; sequence++) {
      const entry = read(sequence)
      if (matchesFilter(entry, opts)) found.push(entry)
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
      while (firstRowIndex < rows.length && (rows[firstRowIndex]!.at + bounds.retentionMs <= now || bytes > bounds.keptBytes)) dropOldest()
      if (firstSequence > first) texts.dropBelow(firstSequence)
    },
    list,
    listAcceptedAfter,
    getBytes: () => bytes,
    save: () => ({
      firstSequence,
      rows: rows.slice(firstRowIndex).flatMap(({ at, revisionAfter, length }) => [at, revisionAfter, length]),
      texts: texts.save()
    }),
    load: saved => {
      rows = loadRows(saved.rows)
      firstRowIndex = 0
      bytes = rows.reduce((sum, row) => sum + row.length, 0)
      firstSequence = saved.firstSequence
      texts.load(saved.texts)
    }
  }
}
