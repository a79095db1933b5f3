/** Checks the values of one node against the schema. All problems are reported at once. */
import type { NodePath } from '@catkinferry/core.types'
import type { KeyRow } from './keyRow.ts'
import { findKey } from './keys.ts'
import type { ParsedPath } from './paths.ts'
import { parsePath } from './paths.ts'

/** One problem of a change. `key` is absent if the problem is not about one key. */
export interface SettingsProblem {
  readonly path: NodePath
  readonly key?: string
  readonly reason: string
}

/** Longest JSON of one value, in characters. */
export const MAX_VALUE_LENGTH = 65_536

function checkLevel (row: KeyRow, parsed: ParsedPath): string | undefined {
  if (row.levels.includes(parsed.level)) return undefined
  return `may be set at ${row.levels.join(', ')} of ${row.tree}, not at ${parsed.tree} level ${parsed.level}`
}

function checkValue (row: KeyRow, value: unknown): string | undefined {
  const result = row.type.safeParse(value)
  if (!result.success) {
    const unit = row.unit === '' ? '' : ` (${row.unit})`
    return `must be ${row.rule}${unit}: ${result.error.issues.map(issue => issue.message).join('; ')}`
  }
  if (JSON.stringify(value).length > MAX_VALUE_LENGTH) return `is longer than ${MAX_VALUE_LENGTH} characters`
  return undefined
}

function checkKey (key: string, parsed: ParsedPath): KeyRow | string {
  const row = findKey(key)
  if (row === undefined) return 'is not a settings key'
  return checkLevel(row, parsed) ?? row
}

/** Checks a path, the values set there and the keys unset there. Returns an empty list if there is no problem. */
export function validateValues (opts: { path: NodePath, values?: Readonly<Record<string, unknown>>, unset?: readonly string[] }): SettingsProblem[] {
  const { path, values = {}, unset = [] } = opts
  const parsed = parsePath(path)
  if (typeof parsed === 'string') return [{ path, reason: parsed }]
  const problems: SettingsProblem[] = []
  for (const [key, value] of Object.entries(values)) {
    const row = checkKey(key, parsed)
    const reason = typeof row === 'string' ? row : checkValue(row, value)
    if (reason !== undefined) problems.push({ path, key, reason })
    if (unset.includes(key)) problems.push({ path, key, reason: 'is both set and unset' })
  }
  for (const key of unset) {
    const row = checkKey(key, parsed)
    if (typeof row === 'string') problems.push({ path, key, reason: row })
  }
  return problems
}
