/** What differs between two route tables, and what it means for callers. */
import { isDeepStrictEqual } from 'node:util'
import type { ConfigProblem } from '@catkinferry/core.types'

/** Stable: scripts of operators may rely on the codes. */
export const EffectCode = {
  KEYS_STOP: 'keys-stop',
  KEYS_START: 'keys-start',
  KEYS_MOVE: 'keys-move',
  KEYS_REQUIRED: 'keys-required',
  KEYS_NOT_REQUIRED: 'keys-not-required',
  REQUESTS_REFUSED: 'requests-refused',
  REQUESTS_SERVED: 'requests-served',
  REQUESTS_MOVE: 'requests-move',
  REQUESTS_ENDED: 'requests-ended',
  STREAMS_BREAK: 'streams-break',
  VERSION_NOT_HIGHER: 'version-not-higher'
} as const
export type EffectCode = typeof EffectCode[keyof typeof EffectCode]

export interface Effect {
  readonly code: EffectCode
  readonly text: string
  /** Whether callers lose something, or a request is let in that was not before. */
  readonly isWarning: boolean
}

export interface FieldDifference {
  /** Property of the route table. */
  readonly field: string
  readonly before?: unknown
  readonly after?: unknown
}

export interface Difference {
  readonly kind: 'route' | 'service' | 'account' | 'accounts' | 'limit'
  readonly change: 'added' | 'removed' | 'changed'
  /** In quotes; hidden if it contains a key. */
  readonly name: string
  /** In the later table; absent if the entry was removed. */
  readonly path?: ConfigProblem['path']
  readonly fields: readonly FieldDifference[]
  readonly effects: readonly Effect[]
}

export interface TableDifferences {
  readonly fromVersion: number
  readonly toVersion: number
  readonly items: readonly Difference[]
  /** Effects of the whole table. */
  readonly effects: readonly Effect[]
}

/** Creates an effect that takes something from callers, or lets in requests that were refused. */
export function createWarning (code: EffectCode, text: string): Effect {
  return { code, text, isWarning: true }
}

export function createNote (code: EffectCode, text: string): Effect {
  return { code, text, isWarning: false }
}

/** Lists the properties of two entries that differ. */
export function listFieldDifferences<Entry extends object> (before: Entry, after: Entry, fields: ReadonlyArray<keyof Entry & string>): FieldDifference[] {
  return fields.filter(field => before[field] !== after[field] && !isDeepStrictEqual(before[field], after[field])).map(field => ({ field, before: before[field], after: after[field] }))
}
