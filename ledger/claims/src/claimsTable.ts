/**
 * The table of claims, part of the replicated state. Each voter applies the same commands to it in log order; it does no
 * I/O and reads no clock.
 */
import type { AttemptId, ClaimKey, HostId, WallMs } from '@catkinferry/core.types'
import type { ClaimOutcome, CommandOutcome } from '@catkinferry/wire.messages'
import type { ClaimDescription, ClaimLimits, ClaimRow, ClaimState, SavedClaims } from './claimRow.ts'
import { createClaimStore } from './claimStore.ts'

/** Maximum earlier attempts remembered per key. */
const MAX_PAST_ATTEMPTS = 64

/** A key created further than this ahead of the leader's clock is refused. */
export const MAX_KEY_SKEW_MS = 300_000

export interface TakeCommand {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly host: HostId
  readonly keyCreatedAt: WallMs
  readonly fingerprint: string
  /** Clock of the replicated state: the time at which the leader proposed the command. */
  readonly now: WallMs
  readonly limits: ClaimLimits
}

export interface FinishCommand {
  readonly claimKey: ClaimKey
  readonly attemptId: AttemptId
  readonly outcome: ClaimOutcome
  readonly now: WallMs
  readonly limits: ClaimLimits
}

/** Why an operator cannot resolve a claim. */
export type ResolveRefusal = 'notFound' | 'open' | 'finished'

export interface ClaimsTable {
  readonly take: (opts: TakeCommand) => CommandOutcome
  readonly finish: (opts: FinishCommand) => CommandOutcome
  /** Sets the outcome of an unknown or overdue claim; returns the refusal for any other. */
  readonly resolve: (opts: { claimKey: ClaimKey, resolution: 'done' | 'notRun', note: string, by: string, now: WallMs, limits: ClaimLimits }) => ResolveRefusal | undefined
  /** Drops settled claims past their retention period, and the oldest answers beyond the size limit. */
  readonly expire: (now: WallMs, limits: ClaimLimits) => void
  readonly get: (claimKey: ClaimKey, now: WallMs, limits: ClaimLimits) => ClaimDescription | undefined
  /** Lists claims in `state`, or in any state when it is undefined. */
  readonly list: (opts: { state?: string, limit: number, now: WallMs, limits: ClaimLimits }) => ClaimDescription[]
  readonly getSize: () => number
  readonly getKeptAnswerBytes: () => number
  /** Rows and the order of kept answers, for snapshots. */
  readonly save: () => SavedClaims
  readonly load: (saved: SavedClaims) => void
}

function computeState (row: ClaimRow, now: WallMs, limits: ClaimLimits): ClaimState {
  if (row.outcome !== undefined) return row.outcome.kind
  return row.takenAt + limits.openLimitMs < now ? 'overdue' : 'open'
}

/** All attempts known for the key, the current one last. */
function listAttempts (row: ClaimRow): AttemptId[] {
  return [...row.pastAttempts ?? [], row.attemptId]
}

function describeHeld (row: ClaimRow, fingerprint: string): CommandOutcome {
  const { attemptId, host, outcome } = row
  return { kind: 'claim.held', attemptId, host, ...(outcome === undefined ? {} : { outcome }), sameFingerprint: row.fingerprint === fingerprint }
}

/** Creates an empty table. */
export function createClaimsTable (): ClaimsTable {
  const store = createClaimStore()

  /** Prevents an attempt from ever taking the key. */
  function excludeAttempt (row: ClaimRow, attemptId: AttemptId): void {
    if (listAttempts(row).includes(attemptId)) return
    store.replace({ ...row, pastAttempts: [...row.pastAttempts ?? [], attemptId].slice(-MAX_PAST_ATTEMPTS) })
  }

  function take (opts: TakeCommand): CommandOutcome {
    const { claimKey, attemptId, host, keyCreatedAt, fingerprint, now, limits } = opts
    const row = store.find(claimKey)
    const isFree = row === undefined || (row.outcome?.kind === 'notRun' && !listAttempts(row).includes(attemptId))
    if (!isFree) {
      if (row.attemptId === attemptId && row.outcome === undefined) return { kind: 'claim.taken' }
      // A late duplicate of this take must get the same answer.
      excludeAttempt(row, attemptId)
      return describeHeld(row, fingerprint)
    }
    if (keyCreatedAt + limits.retentionMs < now) return { kind: 'claim.expired', reason: 'tooOld' }
    if (keyCreatedAt > now + MAX_KEY_SKEW_MS) return { kind: 'claim.expired', reason: 'inFuture' }
    if (row !== undefined && row.fingerprint !== '' && row.fingerprint !== fingerprint) return describeHeld(row, fingerprint)
    const pastAttempts = row === undefined ? [] : listAttempts(row).slice(-MAX_PAST_ATTEMPTS)
    store.add({ claimKey, attemptId, host, fingerprint, keyCreatedAt, takenAt: now, keptFrom: Math.max(now, keyCreatedAt), ...(pastAttempts.length === 0 ? {} : { pastAttempts }) })
    return { kind: 'claim.taken' }
  }

  function finish (opts: FinishCommand): CommandOutcome {
    const { claimKey, attemptId, outcome, now, limits } = opts
    const row = store.find(claimKey)
    if (row === undefined) {
      // The attempt's take may still arrive: record the attempt as not run, so that its take is refused.
      if (outcome.kind === 'notRun') store.add({ claimKey, attemptId, host: '', fingerprint: '', keyCreatedAt: now, takenAt: now, keptFrom: now, outcome })
      return { kind: 'claim.finished' }
    }
    if (row.attemptId !== attemptId) {
      if (outcome.kind === 'notRun') excludeAttempt(row, attemptId)
      return describeHeld(row, row.fingerprint)
    }
    if (row.outcome === undefined) store.recordOutcome(row, outcome, now, limits)
    return { kind: 'claim.finished' }
  }

  return {
    take,
    finish,
    expire: store.expire,
    resolve: ({ claimKey, resolution, note, by, now, limits }) => {
      const row = store.find(claimKey)
      if (row === undefined) return 'notFound'
      const state = computeState(row, now, limits)
      if (state === 'open') return 'open'
      if (state !== 'unknown' && state !== 'overdue') return 'finished'
      const outcome: ClaimOutcome = resolution === 'done' ? { kind: 'done' } : { kind: 'notRun', reason: note }
      store.recordOutcome({ ...row, resolvedBy: by }, outcome, now, limits)
      return undefined
    },
    get: (claimKey, now, limits) => {
      const row = store.find(claimKey)
      return row === undefined ? undefined : describe(row, now, limits)
    },
    list: ({ state, limit, now, limits }) => {
      const found: ClaimDescription[] = []
      for (const row of store.listRows()) {
        if (found.length >= limit) break
        const described = describe(row, now, limits)
        if (state === undefined || described.state === state) found.push(described)
      }
      return found
    },
    getSize: store.getSize,
    getKeptAnswerBytes: store.getKeptAnswerBytes,
    save: store.save,
    load: store.load
  }
}

function describe (row: ClaimRow, now: WallMs, limits: ClaimLimits): ClaimDescription {
  return { ...row, state: computeState(row, now, limits) }
}
