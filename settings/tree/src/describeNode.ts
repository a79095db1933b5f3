/** Describes settings nodes and subtrees for operators: own values, effective values with their origin, differences. */
import type { NodePath } from '@catkinferry/core.types'
import { listKeys, parsePath } from '@catkinferry/settings.schema'
import type { NodeValues } from './packValues.ts'
import type { ExplainedValue, SettingsTree, TreeNode } from './settingsTree.ts'

/** Description of one node. `effective` lists every key that applies at the path, with `from` only if `explain` was set. */
export interface NodeDescription {
  readonly path: NodePath
  readonly exists: boolean
  /** The `expectedRevision` for the next change of this node; 0 if the node does not exist. */
  readonly revision: number
  readonly values: NodeValues
  /** Revision of the tree that was read. */
  readonly stateRevision: number
  readonly effective?: readonly (ExplainedValue | Omit<ExplainedValue, 'from'>)[]
}

/** Lists the keys that may be set at the path or at one of its ancestors. */
function listApplicableKeys (path: NodePath): string[] {
  const parsed = parsePath(path)
  if (typeof parsed === 'string') return []
  const depth = parsed.segments.length
  const levelsOnPath = new Set<string>()
  for (let length = 1; length <= depth; length++) {
    const ancestor = parsePath(parsed.segments.slice(0, length).join('/'))
    if (typeof ancestor !== 'string') levelsOnPath.add(ancestor.level)
  }
  return listKeys().filter(row => row.tree === parsed.tree && row.levels.some(level => levelsOnPath.has(level))).map(row => row.key)
}

/** Describes one node; `effective` adds the effective values, `explain` also the node that each one comes from. */
export function describeNode (opts: { tree: SettingsTree, path: NodePath, effective: boolean, explain: boolean }): NodeDescription {
  const { tree, path } = opts
  const node = tree.getNode(path)
  const description: NodeDescription = {
    path, exists: node !== undefined, revision: node?.revision ?? 0, values: node?.values ?? {}, stateRevision: tree.getRevision()
  }
  if (!opts.effective && !opts.explain) return description
  const effective = listApplicableKeys(path).map(key => tree.explainValue(path, key)).filter(({ value }) => value !== undefined)
  return { ...description, effective: opts.explain ? effective : effective.map(({ key, value }) => ({ key, value })) }
}

/** Lists one page of a subtree, including its root, parents first. `after` is the last path of the previous page. */
export function listSubtree (opts: { tree: SettingsTree, path: NodePath, limit: number, after?: NodePath }): TreeNode[] {
  const { tree, path, limit, after } = opts
  const found: TreeNode[] = []
  let skipping = after !== undefined
  for (const node of tree.walkNodes()) {
    if (node.path !== path && !node.path.startsWith(`${path}/`)) continue
    if (skipping) {
      skipping = node.path !== after
      continue
    }
    found.push(node)
    if (found.length >= limit) break
  }
  return found
}

/** One effective key that differs between two nodes. */
export interface KeyDifference {
  readonly key: string
  readonly left: ExplainedValue
  readonly right: ExplainedValue
}

/** Effective keys that differ between two nodes of one tree. */
export function compareNodes (opts: { tree: SettingsTree, left: NodePath, right: NodePath }): KeyDifference[] {
  const { tree } = opts
  const keys = new Set([...listApplicableKeys(opts.left), ...listApplicableKeys(opts.right)])
  const differences: KeyDifference[] = []
  for (const key of keys) {
    const left = tree.explainValue(opts.left, key)
    const right = tree.explainValue(opts.right, key)
    if (JSON.stringify(left.value) !== JSON.stringify(right.value)) differences.push({ key, left, right })
  }
  return differences
}
