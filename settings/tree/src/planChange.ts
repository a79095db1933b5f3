/** Works out what a change would do to the trees, or why it is refused. Changes nothing itself: dry runs use it as it is. */
import { ErrorCode } from '@catkinferry/core.errors'
import type { Failure } from '@catkinferry/core.errors'
import type { NodeChange, NodePath } from '@catkinferry/core.types'
import { getParentPath, parsePath, TreeName, validateChangeShape, validateValues } from '@catkinferry/settings.schema'
import type { SettingsProblem } from '@catkinferry/settings.schema'
import type { NodeValues } from './packValues.ts'
import { sortValues } from './packValues.ts'
import type { SettingsTree, TreeNode } from './settingsTree.ts'

const STEP = 'settings.change'
const SHOWN_PROBLEMS = 20
const FIXED_KEYS = ['weightsUri', 'digest']

/** What happens to one node. `after` is undefined for a removal, `before` for a creation. */
export interface PlannedNode {
  readonly path: NodePath
  readonly before?: NodeValues
  readonly after?: NodeValues
}

/** Nodes in the order in which they are to be applied: removals deepest first, then the others parents first. */
export interface ChangePlan {
  readonly nodes: readonly PlannedNode[]
}

/** Why a change is refused. `current` holds the nodes whose revision was not the expected one. */
export interface ChangeRefusal {
  readonly failure: Failure
  readonly problems: readonly SettingsProblem[]
  readonly current?: readonly CurrentNode[]
}

export type CurrentNode = TreeNode | { readonly path: NodePath, readonly revision: 0 }

export type PlannedChange = { readonly ok: true, readonly plan: ChangePlan } | { readonly ok: false, readonly refusal: ChangeRefusal }

/** Plans a change of several nodes, all or nothing. */
export function planChange (opts: { tree: SettingsTree, changes: readonly NodeChange[] }): PlannedChange {
  const { tree, changes } = opts
  const shapeProblems = checkShape(changes)
  if (shapeProblems.length > 0) return refuseProblems(shapeProblems)
  const conflicts = listConflicts(tree, changes)
  if (conflicts.length > 0) return refuseConflict(conflicts)
  const nodes = sortPlanned(changes.map(change => planNode(tree, change)))
  const problems = checkStructure(tree, nodes)
  return problems.length > 0 ? refuseProblems(problems) : { ok: true, plan: { nodes } }
}

function checkShape (changes: readonly NodeChange[]): SettingsProblem[] {
  const problems = validateChangeShape(changes)
  if (problems.length > 0) return problems
  const seen = new Set<NodePath>()
  for (const change of changes) {
    problems.push(...checkOne(change))
    if (seen.has(change.path)) problems.push({ path: change.path, reason: 'is named twice' })
    seen.add(change.path)
  }
  return problems
}

function checkOne (change: NodeChange): SettingsProblem[] {
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

function sortPlanned (nodes: readonly PlannedNode[]): PlannedNode[] {
  const removed = nodes.filter(node => node.after === undefined)
  const put = nodes.filter(node => node.after !== undefined)
  removed.sort((a, b) => countSegments(b.path) - countSegments(a.path))
  put.sort((a, b) => countSegments(a.path) - countSegments(b.path))
  return [...removed, ...put]
}

/** Reads nodes as they will be after the plan. */
interface PlannedView {
  readonly tree: SettingsTree
  readonly byPath: ReadonlyMap<NodePath, PlannedNode>
}

function checkStructure (tree: SettingsTree, nodes: readonly PlannedNode[]): SettingsProblem[] {
  const created = new Map<string, NodePath>()
  const problems: SettingsProblem[] = []
  for (const { path, before, after } of nodes) {
    const parsed = parsePath(path)
    if (typeof parsed === 'string' || parsed.level !== 'adapter' || before !== undefined || after === undefined) continue
    const name = parsed.segments[2]!
    const twin = created.get(name)
    if (twin !== undefined) problems.push({ path, reason: `the adapter name '${name}' is also used by ${twin}` })
    created.set(name, path)
  }
  const view: PlannedView = { tree, byPath: new Map(nodes.map(node => [node.path, node])) }
  for (const node of nodes) problems.push(...(node.after === undefined ? checkRemoval(view, node.path) : checkPut(view, node)))
  return problems
}

function willExist (view: PlannedView, path: NodePath): boolean {
  const planned = view.byPath.get(path)
  return planned === undefined ? view.tree.getNode(path) !== undefined : planned.after !== undefined
}

/** An existing node below `path` that the plan leaves; placeholders are looked through. */
function findKeptDescendant (view: PlannedView, path: NodePath): NodePath | undefined {
  for (const name of view.tree.listChildren(path)) {
    const child = `${path}/${name}`
    if (view.tree.getNode(child) !== undefined && willExist(view, child)) return child
    const deeper = findKeptDescendant(view, child)
    if (deeper !== undefined) return deeper
  }
  return undefined
}

function checkRemoval (view: PlannedView, path: NodePath): SettingsProblem[] {
  const problems: SettingsProblem[] = []
  const kept = findKeptDescendant(view, path)
  if (kept !== undefined) problems.push({ path, reason: `has nodes below it, such as ${kept}; name them all to remove them too` })
  const inForce = checkVersionRemoval(view, path)
  if (inForce !== undefined) problems.push(inForce)
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

function checkPut (view: PlannedView, node: PlannedNode): SettingsProblem[] {
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
  const holder = view.tree.findAdapter(name)
  if (holder !== undefined && holder !== node.path && willExist(view, holder)) {
    problems.push({ path: node.path, reason: `the adapter name '${name}' is already used by ${holder}` })
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
  return FIXED_KEYS
    .filter(key => before[key] !== undefined && before[key] !== after[key])
    .map(key => ({ path, key, reason: 'is fixed once set; create a new version' }))
}

function formatProblem ({ path, key, reason }: SettingsProblem): string {
  return key === undefined ? `${path}: ${reason}` : `${path} ${key}: ${reason}`
}

function refuseProblems (problems: readonly SettingsProblem[]): PlannedChange {
  const shown = problems.slice(0, SHOWN_PROBLEMS).map(formatProblem)
  const hidden = problems.length - shown.length
  const message = shown.join('\n') + (hidden > 0 ? `\nand ${hidden} more` : '')
  return { ok: false, refusal: { failure: { code: ErrorCode.BAD_SETTINGS, message, step: STEP, hint: 'nothing was changed; mend the change and submit it with a new change id' }, problems } }
}

function refuseConflict (current: readonly CurrentNode[]): PlannedChange {
  const message = current.slice(0, SHOWN_PROBLEMS).map(({ path, revision }) => `${path} is at revision ${revision}`).join('\n')
  return { ok: false, refusal: { failure: { code: ErrorCode.CONFLICT, message, step: STEP, hint: 'nothing was changed; read the node again and submit with its revision and a new change id' }, problems: [], current } }
}
