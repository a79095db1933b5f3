/** Checks the shape of a submitted change, so that nothing malformed reaches the settings trees. */
import * as z from 'zod'
import type { SettingsProblem } from './validateValues.ts'

/** Nodes that one change may name. */
export const MAX_NODES_PER_CHANGE = 1_000

/** Longest change as JSON, in characters. */
export const MAX_CHANGE_LENGTH = 1_048_576

/** Longest change id, in characters. */
export const MAX_CHANGE_ID_LENGTH = 128

const nodeChange = z.object({
  path: z.string(),
  expectedRevision: z.int().min(0),
  values: z.record(z.string(), z.unknown()).optional(),
  unset: z.array(z.string()).optional(),
  remove: z.boolean().optional()
})

const nodeChanges = z.array(nodeChange)

/** Returns the problems of the change as a whole; empty if its nodes can be validated one by one. */
export function validateChangeShape (changes: unknown): SettingsProblem[] {
  if (!Array.isArray(changes) || changes.length === 0) return [{ path: '', reason: 'the change names no node' }]
  if (changes.length > MAX_NODES_PER_CHANGE) return [{ path: '', reason: `the change names ${changes.length} nodes; at most ${MAX_NODES_PER_CHANGE} are allowed` }]
  const length = JSON.stringify(changes).length
  if (length > MAX_CHANGE_LENGTH) return [{ path: '', reason: `the change has ${length} characters as JSON; at most ${MAX_CHANGE_LENGTH} are allowed` }]
  const parsed = nodeChanges.safeParse(changes)
  return parsed.success ? [] : parsed.error.issues.map(({ path, message }) => ({ path: '', reason: `change ${path.map(String).join('.')}: ${message}` }))
}
