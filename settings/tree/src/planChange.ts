/** Plans a settings change: computes what it would do to the trees, or why it is refused. Has no side effects, so dry runs use it too. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { NodeChange, NodePath } from '@catkinferry/core.types'
import { getParentPath, parsePath, TreeName, validateChangeShape, validateValues } from '@catkinferry/settings.schema'
import type { SettingsProblem } from '@catkinferry/settings.schema'
import type { NodeValues } from './packValues.ts'
import { sortValues } from './packValues.ts'
import type { SettingsTree, TreeNode } from './settingsTree.ts'

const STEP = 'settings.change'
const MAX_LISTED_PROBLEMS = 20
const IMMUTABLE_KEYS = ['weightsUri', 'digest']

/** Effect of a plan on one node. `after` is undefined for a removal, `before` for a creation. */
export interface PlannedNode {
  readonly path: NodePath
  readonly before?: NodeValues
  readonly after?: NodeValues
}

/** Nodes in the order of application: removals deepest first, then the others parents first. */
export interface ChangePlan {
  readonly nodes: readonly PlannedNode[]
}

/** Why a change is refused. `current` lists the nodes whose revision differs from the expected one. */
export interface ChangeRefusal {
  readonly failure: Failure
  readonly problems: readonly SettingsProblem[]
  readonly current?: readonly CurrentNode[]
}

export type CurrentNode = TreeNode | { readonly path: NodePath, readonly revision: 0 }

export type PlannedChange = { readonly ok: true, readonly plan: ChangePlan } | { readonly ok: false, readonly refusal: ChangeRefusal }

/** Plans a change of one or more nodes, which is applied as a whole or not at all. */
export function planChange (opts: { tree: SettingsTree, changes: readonly NodeChange[] }): PlannedChange {
  const { tree, changes } = opts
  const shapeProblems = checkShape(changes)
  if (shapeProblems.length > 0) return refuseProblems(shapeProblems)
  const conflicts = listConflicts(tree, changes)
  if (conflicts.length > 0) return refuseConflict(conflicts)
  const nodes = sortInApplyOrder(changes.map(change => planNode(tree, change)))
  const problems = checkStructure(tree, nodes)
  return problems.length > 0 ? refuseProblems(problems) : { ok: true, plan: { nodes } }
}

function checkShape (changes: readonly NodeChange[]): SettingsProblem[] {
  const problems = validateChangeShape(changes)
  if (problems.length > 0) return problems
  const seen = new Set<NodePath>()
  for (const change of changes) {
    problems.push(...checkNodeChange(change))
    if (seen.has(change.path)) problems.push({ path: change.path, reason: 'is named twice' })
    seen.add(change.path)
  }
  return problems
}

function checkNodeChange (change: NodeChange): SettingsProblem[] {
  const { path, values, unset, remove, expectedRevision } = change
  const problems = validateValues({ path, values, unset })
  if (remove === true && (values !== undefined || unset !== undefined)) problems.push({ path, reason: 'is removed and changed at once' })
  if (remove === true && expectedRevision === 0) problems.push({ path, reason: 'does not exist and cannot be removed' })
  return problems
}

function listConflicts (tree: SettingsTree, changes: readonly NodeChange[]): CurrentNode[] {
  const conflicts: CurrentNode[] = []
  for (const { path, expectedRevision } of changes) {
    const node = tree.getNode(path)
    if ((node?.revision ?? 0) !== expectedRevision) conflicts.push(node ?? { path, revision: 0 })
  }
  return conflicts
}

function planNode (tree: SettingsTree, change: NodeChange): PlannedNode {
  const before = tree.getNode(change.path)?.values
  if (change.remove === true) return { path: change.path, before }
  const after: Record<string, unknown> = { ...before, ...change.values }
  for (const key of change.unset ?? []) delete after[key]
  return { path: change.path, before, after: sortValues(after) }
}

function countSegments (path: NodePath): number {
  return path.split('/').length
}

function sortInApplyOrder (nodes: readonly PlannedNode[]): PlannedNode[] {
  const removed = nodes.filter(node => node.after === undefined)
  const upserted = nodes.filter(node => node.after !== undefined)
  removed.sort((a, b) => countSegments(b.path) - countSegments(a.path))
  upserted.sort((a, b) => countSegments(a.path) - countSegments(b.path))
  return [...removed, ...upserted]
}

/** The tree as it will be after the plan. */
interface PlannedView {
  readonly tree: SettingsTree
  readonly byPath: ReadonlyMap<NodePath, PlannedNode>
}

function checkStructure (tree: SettingsTree, nodes: readonly PlannedNode[]): SettingsProblem[] {
  const createdAdapters = new Map<string, NodePath>()
  const problems: SettingsProblem[] = []
  for (const { path, before, after } of nodes) {
    const parsed = parsePath(path)
    if (typeof parsed === 'string' || parsed.level !== 'adapter' || before !== undefined || after === undefined) continue
    const name = parsed.segments[2]!
    const sameNamePath = createdAdapters.get(name)
    if (sameNamePath !== undefined) problems.push({ path, reason: `the adapter name '${name}' is also used by ${sameNamePath}` })
    createdAdapters.set(name, path)
  }
  const view: PlannedView = { tree, byPath: new Map(nodes.map(node => [node.path, node])) }
  for (const node of nodes) problems.push(...(node.after === undefined ? checkRemoval(view, node.path) : checkUpsert(view, node)))
  return problems
}

function willExist (view: PlannedView, path: NodePath): boolean {
  const planned = view.byPath.get(path)
  return planned === undefined ? view.tree.getNode(path) !== undefined : planned.after !== undefined
}

/** Finds an existing node below `path` that the plan does not remove. Placeholders are skipped, their descendants are not. */
function findRemainingDescendant (view: PlannedView, path: NodePath): NodePath | undefined {
  for (const name of view.tree.listChildren(path)) {
    const child = `${path}/${name}`
    if (view.tree.getNode(child) !== undefined && willExist(view, child)) return child
    const deeper = findRemainingDescendant(view, child)
    if (deeper !== undefined) return deeper
  }
  return undefined
}

function checkRemoval (view: PlannedView, path: NodePath): SettingsProblem[] {
  const problems: SettingsProblem[] = []
  const remaining = findRemainingDescendant(view, path)
  if (remaining !== undefined) problems.push({ path, reason: `has nodes below it, such as ${remaining}; name them all to remove them too` })
  const versionProblem = checkVersionRemoval(view, path)
  if (versionProblem !== undefined) problems.push(versionProblem)
  return problems
}

function checkVersionRemoval (view: PlannedView, path: NodePath): SettingsProblem | undefined {
  const parsed = parsePath(path)
  if (typeof parsed === 'string' || parsed.level !== 'version') return undefined
  const adapter = getParentPath(path)!
  const planned = view.byPath.get(adapter)
  const values = planned === undefined ? view.tree.getNode(adapter)?.values : planned.after
  return values?.inForce === parsed.segments[3] ? { path, reason: 'is the version in force and cannot be removed' } : undefined
}

function checkUpsert (view: PlannedView, node: PlannedNode): SettingsProblem[] {
  const parsed = parsePath(node.path)
  if (typeof parsed === 'string' || parsed.tree !== TreeName.MODELS) return []
  const problems: SettingsProblem[] = []
  const parent = getParentPath(node.path)
  if (parent !== undefined && parent !== TreeName.MODELS && !willExist(view, parent)) problems.push({ path: node.path, reason: `its parent ${parent} does not exist` })
  if (parsed.level === 'adapter') problems.push(...checkAdapter(view, node, parsed.segments[2]!))
  if (parsed.level === 'version') problems.push(...checkVersion(node))
  return problems
}

function checkAdapter (view: PlannedView, node: PlannedNode, name: string): SettingsProblem[] {
  const problems: SettingsProblem[] = []
  const existingPath = view.tree.findAdapter(name)
  if (existingPath !== undefined && existingPath !== node.path && willExist(view, existingPath)) {
    problems.push({ path: node.path, reason: `the adapter name '${name}' is already used by ${existingPath}` })
  }
  const inForce = node.after?.inForce
  if (typeof inForce === 'string' && !willExist(view, `${node.path}/${inForce}`)) {
    problems.push({ path: node.path, key: 'inForce', reason: `the version ${inForce} does not exist` })
  }
  return problems
}

function checkVersion (node: PlannedNode): SettingsProblem[] {
  const { path, before, after } = node
  if (before === undefined || after === undefined) return []
  return IMMUTABLE_KEYS
    .filter(key => before[key] !== undefined && before[key] !== after[key])
    .map(key => ({ path, key, reason: 'is fixed once set; create a new version' }))
}

function formatProblem ({ path, key, reason }: SettingsProblem): string {
  return key === undefined ? `${path}: ${reason}` : `${path} ${key}: ${reason}`
}

function refuseProblems (problems: readonly SettingsProblem[]): PlannedChange {
  const shown = problems.slice(0, MAX_LISTED_PROBLEMS).map(formatProblem)
  const hidden = problems.length - shown.length
  const message = shown.join('\n') + (hidden > 0 ? `\nand ${hidden} more` : '')
  return { ok: false, refusal: { failure: { code: ErrorCode.BAD_SETTINGS, message, step: STEP, hint: 'nothing was changed; mend the change and submit it with a new change id' }, problems } }
}

function refuseConflict (current: readonly CurrentNode[]): PlannedChange {
  const message = current.slice(0, MAX_LISTED_PROBLEMS).map(({ path, revision }) => `${path} is at revision ${revision}`).join('\n')
  return { ok: false, refusal: { failure: { code: ErrorCode.CONFLICT, message, step: STEP, hint: 'nothing was changed; read the node again and submit with its revision and a new change id' }, problems: [], current } }
}
