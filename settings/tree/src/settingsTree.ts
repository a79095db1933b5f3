/** The two settings trees, fleet and models. A node stores only its overrides and inherits other values from its ancestors. */
import type { AdapterName, NodePath, ResolvedAdapter, VersionName } from '@catkinferry/core.types'
import { TREE_LEVELS } from '@catkinferry/settings.schema'
import type { NodeDelta, RevisionDelta } from '@catkinferry/wire.messages'
import { createEffectiveCache } from './effectiveCache.ts'
import { createNodeStore, NO_NODE } from './nodeStore.ts'
import type { NodeStore } from './nodeStore.ts'
import type { NodeValues } from './packValues.ts'
import { loadStore, saveStore } from './saveTree.ts'
import type { SavedTree } from './saveTree.ts'
import {
  explainValue, findNearest, findNode, formatPath, listAdapters, listChildNames, listNodesByIdRange, readNode, readValue, resolveAdapter, walkStoreAsJson, walkStore
} from './readStore.ts'

/** A node that exists, with its own overrides. */
export interface TreeNode {
  readonly path: NodePath
  /** The settings revision that last changed the node. */
  readonly revision: number
  readonly values: NodeValues
}

/** A node with its overrides as JSON, keys sorted. */
export interface NodeWithJson {
  readonly path: NodePath
  readonly revision: number
  readonly json: string
}

/** An effective value and the node that it comes from; `from` is `default` if no node sets the key. */
export interface ExplainedValue {
  readonly key: string
  readonly value: unknown
  readonly from: NodePath | 'default'
}

export interface SettingsTree {
  /** Highest revision applied. */
  readonly getRevision: () => number
  readonly setRevision: (revision: number) => void
  /** Undefined for a node that does not exist. */
  readonly getNode: (path: NodePath) => TreeNode | undefined
  readonly hasChildren: (path: NodePath) => boolean
  /** Names of the children in the order of their creation. */
  readonly listChildren: (path: NodePath) => IterableIterator<string>
  readonly getValue: (path: NodePath, key: string) => unknown
  readonly explainValue: (path: NodePath, key: string) => ExplainedValue
  /** Path of the adapter with this name; adapter names are unique across models. */
  readonly findAdapter: (adapter: AdapterName) => NodePath | undefined
  readonly resolveAdapter: (adapter: AdapterName, version?: VersionName) => ResolvedAdapter | undefined
  readonly listAdapters: (opts: { after?: AdapterName, limit: number }) => ResolvedAdapter[]
  /** Creates, replaces or removes one node without changing the tree's revision. */
  readonly putNode: (delta: NodeDelta) => void
  /** Applies all nodes of one revision, then sets the tree's revision. */
  readonly applyDelta: (delta: RevisionDelta) => void
  readonly countNodes: () => number
  /** Lists the nodes with ids from `from` (inclusive) to `from + limit` (exclusive). Paging by id stays valid while nodes are added and removed. */
  readonly listNodesByIdRange: (from: number, limit: number) => NodeDelta[]
  readonly getIdLimit: () => number
  /** All nodes, parents before children, in an order that depends only on the commands applied. */
  readonly walkNodes: () => IterableIterator<TreeNode>
  /** The whole tree as columns, for snapshots. */
  readonly save: () => SavedTree
  /** As `walkNodes`, with the values as JSON. */
  readonly walkNodesAsJson: () => IterableIterator<NodeWithJson>
}

/** Creates trees without nodes at revision 0, or restores saved ones. */
export function createSettingsTree (saved?: SavedTree): SettingsTree {
  const store = createNodeStore()
  for (const root of Object.keys(TREE_LEVELS)) store.addChild(NO_NODE, root, false)
  const cache = createEffectiveCache()
  let revision = saved?.revision ?? 0
  let count = saved === undefined ? 0 : loadStore(store, saved, isAdapterDepth)

  function removeNode (path: NodePath): void {
    const id = findNode(store, path)
    if (id === NO_NODE || store.getRevision(id) === 0) return
    count--
    store.setNode(id, 0, {})
    removeEmptyPlaceholders(store, id)
  }

  function putNode (delta: NodeDelta): void {
    cache.clearBelow(delta.path)
    if (delta.values === undefined) {
      removeNode(delta.path)
      return
    }
    const id = findOrAddNode(store, delta.path)
    if (store.getRevision(id) === 0) count++
    store.setNode(id, delta.nodeRevision, delta.values)
  }

  return {
    getRevision: () => revision,
    setRevision: value => { revision = value },
    getNode: path => readNode(store, path),
    hasChildren: path => {
      const id = findNode(store, path)
      return id !== NO_NODE && store.getFirstChild(id) !== NO_NODE
    },
    listChildren: path => listChildNames(store, findNode(store, path)),
    getValue: (path, key) => cache.get(path, key, () => readValue(store, findNearest(store, path), key)),
    explainValue: (path, key) => explainValue(store, path, key),
    findAdapter: adapter => {
      const id = store.findAdapter(adapter)
      return id === NO_NODE ? undefined : formatPath(store, id)
    },
    resolveAdapter: (adapter, version) => resolveAdapter(store, store.findAdapter(adapter), version),
    listAdapters: opts => listAdapters(store, opts),
    putNode,
    applyDelta: delta => {
      for (const node of delta.nodes) putNode(node)
      revision = delta.revision
    },
    countNodes: () => count,
    listNodesByIdRange: (from, limit) => listNodesByIdRange(store, from, limit),
    getIdLimit: store.getIdLimit,
    walkNodes: () => walkStore(store),
    walkNodesAsJson: () => walkStoreAsJson(store),
    save: () => saveStore(store, revision)
  }
}

function isAdapterDepth (root: string, depth: number): boolean {
  return depth === TREE_LEVELS.models.indexOf('adapter') && root === TREE_LEVELS.models[0]
}

/** Finds a node, adding it and its ancestors as placeholders where they are absent. */
function findOrAddNode (store: NodeStore, path: NodePath): number {
  let id = NO_NODE
  const segments = path.split('/')
  for (const [depth, name] of segments.entries()) {
    const child = store.findChild(id, name)
    id = child === NO_NODE ? store.addChild(id, name, isAdapterDepth(segments[0]!, depth)) : child
  }
  return id
}

/** Removes `from` and its ancestors as long as they are placeholders without children. */
function removeEmptyPlaceholders (store: NodeStore, from: number): void {
  let id = from
  while (store.getParent(id) !== NO_NODE && store.getRevision(id) === 0 && store.getFirstChild(id) === NO_NODE) {
    const parent = store.getParent(id)
    store.removeLeaf(id)
    id = parent
  }
}
