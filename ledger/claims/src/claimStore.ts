/**
 * Stores the rows of the claims table in the order of their retention, with the answers kept for resends. The table uses
 * it on each command and query, and for snapshots.
 */
import type { ClaimKey, WallMs } from '@catkinferry/core.types'
import type { ClaimOutcome } from '@catkinferry/wire.messages'
import type { ClaimLimits, ClaimRow, SavedClaims } from './claimRow.ts'
import { createKeptAnswers } from './keptAnswers.ts'

export interface ClaimStore {
  readonly find: (claimKey: ClaimKey) => ClaimRow | undefined
  /** Adds a claim as the newest, replacing an older one of the same key. */
  readonly add: (row: ClaimRow) => void
  /** Replaces a row by its changed version. */
  readonly replace: (row: ClaimRow) => void
  readonly recordOutcome: (row: ClaimRow, outcome: ClaimOutcome, now: WallMs, limits: ClaimLimits) => void
  /** Drops settled claims past their retention period, and the oldest answers beyond the size limit. */
  readonly expire: (now: WallMs, limits: ClaimLimits) => void
  /** Lists claims past their retention period first, then the others, oldest first. */
  readonly listRows: () => IterableIterator<ClaimRow>
  readonly getSize: () => number
  readonly getKeptAnswerBytes: () => number
  readonly save: () => SavedClaims
  readonly load: (saved: SavedClaims) => void
}

/** A claim is settled once its outcome is known. */
function isSettled (row: ClaimRow): boolean {
  return row.outcome !== undefined && row.outcome.kind !== 'unknown'
}

/** Creates an empty store. */
export function createClaimStore (): ClaimStore {
  /** In the order in which the claims were taken. */
  let rows = new Map<ClaimKey, ClaimRow>()
  /**
   * Unsettled claims past their retention period: kept until they are settled, apart from the rows that `expire` goes
   * through.
   */
  let pastRetention = new Map<ClaimKey, ClaimRow>()
  const kept = createKeptAnswers()

  function find (claimKey: ClaimKey): ClaimRow | undefined {
    return rows.get(claimKey) ?? pastRetention.get(claimKey)
  }

  function replace (row: ClaimRow): void {
    if (pastRetention.has(row.claimKey)) pastRetention.set(row.claimKey, row)
    else rows.set(row.claimKey, row)
  }

  /** Keeps a claim that is settled after its retention period for one more period, as the newest. */
  function resetRetention (row: ClaimRow, now: WallMs): ClaimRow {
    if (!pastRetention.delete(row.claimKey)) return row
    const renewed = { ...row, keptFrom: now }
    rows.set(row.claimKey, renewed)
    return renewed
  }

  function drop (claimKey: ClaimKey): void {
    kept.remove(claimKey)
    rows.delete(claimKey)
    pastRetention.delete(claimKey)
  }

  /** Drops the oldest answers beyond the size limit; their outcomes stay. */
  function trimAnswers (limits: ClaimLimits): void {
    for (const claimKey of kept.takeExcess(limits.keptAnswerBytes)) {
      const row = find(claimKey)
      if (row?.outcome?.kind !== 'done' || row.outcome.answer === undefined) continue
      const { body: _body, ...rest } = row.outcome.answer
      replace({ ...row, outcome: { kind: 'done', answer: rest } })
    }
  }

  function recordOutcome (row: ClaimRow, outcome: ClaimOutcome, now: WallMs, limits: ClaimLimits): void {
    const current = outcome.kind === 'unknown' ? row : resetRetention(row, now)
    replace({ ...current, outcome })
    if (outcome.kind === 'done' && outcome.answer?.body !== undefined) kept.add(row.claimKey, Buffer.byteLength(outcome.answer.body))
    trimAnswers(limits)
  }

  function expire (now: WallMs, limits: ClaimLimits): void {
    trimAnswers(limits)
    for (const row of rows.values()) {
      if (row.keptFrom + limits.retentionMs > now) break
      if (isSettled(row)) {
        drop(row.claimKey)
      } else {
        rows.delete(row.claimKey)
        pastRetention.set(row.claimKey, row)
      }
    }
  }

  function * listRows (): IterableIterator<ClaimRow> {
    yield * pastRetention.values()
    yield * rows.values()
  }

  function load (saved: SavedClaims): void {
    rows = new Map(saved.rows.map(row => [row.claimKey, row]))
    pastRetention = new Map(saved.overstayed.map(row => [row.claimKey, row]))
    kept.clear()
    for (const claimKey of saved.answerOrder) {
      const outcome = find(claimKey)?.outcome
      if (outcome?.kind === 'done' && outcome.answer?.body !== undefined) kept.add(claimKey, Buffer.byteLength(outcome.answer.body))
    }
  }

  return {
    find,
    add: row => {
      drop(row.claimKey)
      rows.set(row.claimKey, row)
    },
    replace,
    recordOutcome,
    expire,
    listRows,
    getSize: () => rows.size + pastRetention.size,
    getKeptAnswerBytes: kept.getBytes,
    save: () => ({ overstayed: [...pastRetention.values()], rows: [...rows.values()], answerOrder: kept.listKeys() }),
    load
  }
}
