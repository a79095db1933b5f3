/** Schema and required role of each kind of operator request, checked by the operator API on each request. */
import { OperatorRole } from '@catkinferry/core.types'
import type { OperatorCall } from '@catkinferry/core.types'
import * as z from 'zod'

const MAX_DEADLINE_MS = 60_000
const DEFAULT_DEADLINE_MS = 10_000
const MAX_LIST_ROWS = 1_000
const DEFAULT_LIST_ROWS = 100
const MAX_CHANGES = 1_000
const MAX_NOTE_CHARACTERS = 1_000

const path = z.string().max(1_024)
const changeId = z.string().min(1).max(128)
const deadlineMs = z.number().int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS)
const limit = z.number().int().positive().max(MAX_LIST_ROWS).default(DEFAULT_LIST_ROWS)

const nodeChange = z.strictObject({
  path,
  expectedRevision: z.number().int().min(0),
  values: z.record(z.string(), z.unknown()).optional(),
  unset: z.array(z.string()).optional(),
  remove: z.boolean().optional()
})

interface OperatorCallRule {
  readonly role: OperatorRole
  readonly schema: z.ZodType
}

/** Fields and lowest permitted role, by kind. */
export const OPERATOR_CALL_RULES: Readonly<Record<OperatorCall['kind'], OperatorCallRule>> = {
  'settings.change': { role: OperatorRole.WRITE, schema: z.strictObject({ changeId, changes: z.array(nodeChange).min(1).max(MAX_CHANGES), dryRun: z.boolean().default(false), deadlineMs }) },
  'settings.get': { role: OperatorRole.READ, schema: z.strictObject({ path, effective: z.boolean().default(false), explain: z.boolean().default(false), fresh: z.boolean().default(false) }) },
  'settings.list': { role: OperatorRole.READ, schema: z.strictObject({ path, limit, after: z.string().optional() }) },
  'settings.status': { role: OperatorRole.READ, schema: z.strictObject({}) },
  'audit.list': { role: OperatorRole.READ, schema: z.strictObject({ afterSequence: z.number().int().min(0).default(0), limit, path: path.optional(), who: z.string().optional() }) },
  'claims.get': { role: OperatorRole.READ, schema: z.strictObject({ claimKey: z.string().min(1) }) },
  'claims.list': { role: OperatorRole.READ, schema: z.strictObject({ state: z.string().optional(), limit }) },
  'claims.resolve': { role: OperatorRole.WRITE, schema: z.strictObject({ changeId, claimKey: z.string().min(1), resolution: z.enum(['done', 'notRun']), note: z.string().min(1).max(MAX_NOTE_CHARACTERS), deadlineMs }) },
  'voters.status': { role: OperatorRole.READ, schema: z.strictObject({}) },
  'voters.replace': { role: OperatorRole.ADMIN, schema: z.strictObject({ changeId, remove: z.string().optional(), add: z.string().optional(), deadlineMs }) },
  status: { role: OperatorRole.READ, schema: z.strictObject({}) },
  'endpoints.list': { role: OperatorRole.READ, schema: z.strictObject({}) },
  'zones.list': { role: OperatorRole.READ, schema: z.strictObject({}) },
  explain: { role: OperatorRole.READ, schema: z.strictObject({ requestId: z.string().min(1) }) }
}

const RANKS: Readonly<Record<OperatorRole, number>> = { read: 0, write: 1, admin: 2 }

/** Whether `role` includes the permissions of `needed`. */
export function hasRole (role: OperatorRole, needed: OperatorRole): boolean {
  return RANKS[role] >= RANKS[needed]
}
