/** Snapshots of the replicated state: a format version, then plain arrays in an order that follows from the commands alone. */
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { SavedClaims } from '@catkinferry/ledger.claims'
import { createSettingsTree } from '@catkinferry/settings.tree'
import type { SettingsTree } from '@catkinferry/settings.tree'
import { Encoder } from 'cbor-x'
import type { SavedAudit } from './auditTrail.ts'
import type { SavedAnswers } from './changeAnswers.ts'
import { createStateTables } from './stateTables.ts'
import type { StateTables } from './stateTables.ts'

/** Version of the snapshot format. */
export const SNAPSHOT_FORMAT = 1

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, structuredClone: false, tagUint8Array: false })

/** Nodes in walk order; each path is given as the length it shares with the one before, and the rest. */
interface SavedTree {
  readonly revision: number
  readonly shared: number[]
  readonly rest: string[]
  readonly revisions: number[]
  readonly values: string[]
}

interface SavedState {
  readonly format: number
  readonly now: number
  readonly tree: SavedTree
  readonly audit: SavedAudit
  readonly answers: SavedAnswers
  readonly claims: SavedClaims
  readonly endpointFacts: readonly (readonly [string, boolean])[]
}

function countShared (a: string, b: string): number {
  const end = Math.min(a.length, b.length)
  let index = 0
  while (index < end && a.charCodeAt(index) === b.charCodeAt(index)) index++
  return index
}

function saveTree (tree: SettingsTree): SavedTree {
  const saved: SavedTree = { revision: tree.getRevision(), shared: [], rest: [], revisions: [], values: [] }
  let previous = ''
  for (const { path, revision, json } of tree.walkPacked()) {
    const shared = countShared(previous, path)
    saved.shared.push(shared)
    saved.rest.push(path.slice(shared))
    saved.revisions.push(revision)
    saved.values.push(json)
    previous = path
  }
  return saved
}

function loadTree (saved: SavedTree): SettingsTree {
  const tree = createSettingsTree()
  let path = ''
  for (const [index, rest] of saved.rest.entries()) {
    path = path.slice(0, saved.shared[index]) + rest
    tree.putNode({ path, nodeRevision: saved.revisions[index]!, values: JSON.parse(saved.values[index]!) as Record<string, unknown> })
  }
  tree.setRevision(saved.revision)
  return tree
}

/** Encodes the whole state. */
export function encodeSnapshot (tables: StateTables): Uint8Array {
  const state: SavedState = {
    format: SNAPSHOT_FORMAT,
    now: tables.clock.now,
    tree: saveTree(tables.tree),
    audit: tables.audit.save(),
    answers: tables.answers.save(),
    claims: tables.claims.save(),
    endpointFacts: [...tables.endpointFacts]
  }
  return encoder.encode(state)
}

/** Decodes a snapshot; throws `DAMAGED_FILE` on another format. */
export function decodeSnapshot (data: Uint8Array): StateTables {
  const state = encoder.decode(data) as SavedState
  if (state.format !== SNAPSHOT_FORMAT) {
    throw new CatkinferryError({ code: ErrorCode.DAMAGED_FILE, message: `snapshot format ${String(state.format)} is not ${SNAPSHOT_FORMAT}`, step: 'snapshot.restore', hint: 'run a release that knows this format' })
  }
  const tables = createStateTables(loadTree(state.tree))
  tables.audit.load(state.audit)
  tables.answers.load(state.answers)
  tables.claims.load(state.claims)
  for (const [endpoint, checksFencing] of state.endpointFacts) tables.endpointFacts.set(endpoint, checksFencing)
  tables.clock.now = state.now
  return tables
}
