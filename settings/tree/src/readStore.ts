/** Read access to the node store: path lookup, effective values, adapter resolution, listings. */
import { formatAdapterKey } from '@catkinferry/core.types'
import type { AdapterName, NodePath, ResolvedAdapter, VersionName } from '@catkinferry/core.types'
import { findKey, getParentPath } from '@catkinferry/settings.schema'
import type { NodeDelta } from '@catkinferry/wire.messages'
import { NO_NODE } from './nodeStore.ts'
import type { NodeStore } from './nodeStore.ts'
import type { ExplainedValue, NodeWithJson, TreeNode } from './settingsTree.ts'

/** The id of a path, placeholders included, or `NO_NODE`. */
export function findNode (store: NodeStore, path: NodePath): number {
  let id = NO_NODE
  for (const name of path.split('/')) {
    id = store.findChild(id, name)
    if (id === NO_NODE) return NO_NODE
  }
  return id
}

/** The id of a path or of its nearest ancestor. */
export function findNearest (store: NodeStore, path: NodePath): number {
  for (let at: NodePath | undefined = path; at !== undefined; at = getParentPath(at)) {
    const id = findNode(store, at)
    if (id !== NO_NODE) return id
  }
  return NO_NODE
}

/** The path of an id. */
export function formatPath (store: NodeStore, id: number): NodePath {
  let path = store.getName(id)
  for (let at = store.getParent(id); at !== NO_NODE; at = store.getParent(at)) path = `${store.getName(at)}/${path}`
  return path
}

/** Reads a node; undefined when it does not exist or is a placeholder. */
export function readNode (store: NodeStore, path: NodePath): TreeNode | undefined {
  const id = findNode(store, path)
  if (id === NO_NODE || store.getRevision(id) === 0) return undefined
  return { path, revision: store.getRevision(id), values: store.getValues(id) }
}

/** Finds the nearest node that sets the key, from `id` upwards; `NO_NODE` if none does. */
function findNodeWithKey (store: NodeStore, id: number, key: string): number {
  let at = id
  while (at !== NO_NODE && !store.hasKey(at, key)) at = store.getParent(at)
  return at
}

/** The effective value of a key at an id. */
export function readValue (store: NodeStore, id: number, key: string): unknown {
  const sourceId = findNodeWithKey(store, id, key)
  return sourceId === NO_NODE ? findKey(key)?.defaultValue : store.getValues(sourceId)[key]
}

/** The effective value of a key at a path, with its origin. */
export function explainValue (store: NodeStore, path: NodePath, key: string): ExplainedValue {
  const sourceId = findNodeWithKey(store, findNearest(store, path), key)
  if (sourceId === NO_NODE) return { key, value: findKey(key)?.defaultValue, from: 'default' }
  return { key, value: store.getValues(sourceId)[key], from: formatPath(store, sourceId) }
}

/** Resolves an adapter id and a version; undefined when either is absent or not enabled. The pool defaults to the model's name. */
export function resolveAdapter (store: NodeStore, id: number, version?: VersionName): ResolvedAdapter | undefined {
  if (id === NO_NODE) return undefined
  const versionName = version ?? store.getValues(id).inForce as string | undefined
  if (versionName === undefined) return undefined
  const versionId = store.findChild(id, versionName)
  if (versionId === NO_NODE || store.getRevision(versionId) === 0) return undefined
  if (readValue(store, versionId, 'enabled') !== true) return undefined
  const adapter = store.getName(id)
  const model = store.getName(store.getParent(id))
  const pool = readValue(store, id, 'pool') as string | undefined
  return { adapter, version: versionName, adapterKey: formatAdapterKey(adapter, versionName), model, pool: pool ?? model }
}

/** Adapters with an enabled version in force, in the order of their ids. */
export function listAdapters (store: NodeStore, opts: { after?: AdapterName, limit: number }): ResolvedAdapter[] {
  const start = opts.after === undefined ? NO_NODE : store.findAdapter(opts.after)
  if (opts.after !== undefined && start === NO_NODE) return []
  const found: ResolvedAdapter[] = []
  for (let id = start + 1; id < store.getIdLimit() && found.length < opts.limit; id++) {
    const resolved = store.isAdapter(id) ? resolveAdapter(store, id) : undefined
    if (resolved !== undefined) found.push(resolved)
  }
  return found
}

/** Lists the existing nodes with ids from `from` (inclusive) to `from + limit` (exclusive). */
export function listNodesByIdRange (store: NodeStore, from: number, limit: number): NodeDelta[] {
  const nodes: NodeDelta[] = []
  const end = Math.min(store.getIdLimit(), from + limit)
  for (let id = from; id < end; id++) {
    if (!store.isUsed(id) || store.getRevision(id) === 0) continue
    nodes.push({ path: formatPath(store, id), nodeRevision: store.getRevision(id), values: store.getValues(id) })
  }
  return nodes
}

/** Names of the children of an id. */
export function * listChildNames (store: NodeStore, parent: number): IterableIterator<string> {
  if (parent === NO_NODE) return
  for (let id = store.getFirstChild(parent); id !== NO_NODE; id = store.getNextSibling(id)) yield store.getName(id)
}

/** The id after `id` in depth-first order, parents first. */
function findNextDepthFirst (store: NodeStore, id: number): number {
  const child = store.getFirstChild(id)
  if (child !== NO_NODE) return child
  for (let at = id; at !== NO_NODE; at = store.getParent(at)) {
    const sibling = store.getNextSibling(at)
    if (sibling !== NO_NODE) return sibling
  }
  return NO_NODE
}

/** Ids of all nodes, placeholders included, parents before children. */
export function * walkAllIds (store: NodeStore): IterableIterator<number> {
  for (let root = 0; root < store.getIdLimit() && store.getParent(root) === NO_NODE; root++) {
    for (let id = root; id !== NO_NODE; id = findNextDepthFirst(store, id)) yield id
  }
}

/** Ids of all existing nodes, parents before children. */
function * walkIds (store: NodeStore): IterableIterator<number> {
  for (const id of walkAllIds(store)) {
    if (store.getRevision(id) > 0) yield id
  }
}

/** All existing nodes, parents before children. */
export function * walkStore (store: NodeStore): IterableIterator<TreeNode> {
  for (const id of walkIds(store)) yield { path: formatPath(store, id), revision: store.getRevision(id), values: store.getValues(id) }
}

/** All existing nodes with their values as JSON, parents before children. */
export function * walkStoreAsJson (store: NodeStore): IterableIterator<NodeWithJson> {
  for (const id of walkIds(store)) yield { path: formatPath(store, id), revision: store.getRevision(id), json: store.getValuesJson(id) }
}
