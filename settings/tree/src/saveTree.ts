/** Saves trees as plain columns for snapshots and loads them again. Trees built by the same commands give equal columns. */
import { NO_NODE } from './nodeStore.ts'
import type { NodeStore } from './nodeStore.ts'
import { DIGEST_BYTES, DIGEST_MARKER, restorePacked } from './packValues.ts'
import type { ValuesOrTemplate } from './packValues.ts'
import { walkAllIds } from './readStore.ts'

/** All nodes in depth-first order, placeholders included. Numbers of several bytes are little-endian. */
export interface SavedTree {
  readonly revision: number
  /** Depth of each node, 0 for the roots. */
  readonly depths: Uint8Array
  /** Names of the nodes, one a line. */
  readonly names: string
  /** Revisions of the nodes, 4 bytes each; 0 for a placeholder. */
  readonly revisions: Uint8Array
  /** Index into `templates` of each node, 4 bytes each. */
  readonly templateIndexes: Uint8Array
  /** JSON of values, with markers for names and digest, in the order of first use. */
  readonly templates: readonly string[]
  /** Digests of the nodes whose template has one, in order. */
  readonly digests: Uint8Array
}

const UINT32_BYTES = 4
const NAME_SEPARATOR = '\n'

/** Saves every node of a store. */
export function saveStore (store: NodeStore, revision: number): SavedTree {
  const ids = Uint32Array.from(walkAllIds(store))
  const depthById = new Uint8Array(store.getIdLimit())
  const depths = new Uint8Array(ids.length)
  const revisions = Buffer.alloc(ids.length * UINT32_BYTES)
  const templateIndexes = Buffer.alloc(ids.length * UINT32_BYTES)
  const digests = Buffer.alloc(ids.length * DIGEST_BYTES)
  const templates = new Map<string, number>()
  const names: string[] = []
  let digestEnd = 0
  for (let index = 0; index < ids.length; index++) {
    const id = ids[index]!
    const parent = store.getParent(id)
    depthById[id] = parent === NO_NODE ? 0 : depthById[parent]! + 1
    depths[index] = depthById[id]!
    names.push(store.getName(id))
    revisions.writeUInt32LE(store.getRevision(id), index * UINT32_BYTES)
    const { values, digest } = store.getPacked(id)
    templateIndexes.writeUInt32LE(getTemplateIndex(templates, values), index * UINT32_BYTES)
    if (digest === undefined) continue
    digests.set(digest, digestEnd)
    digestEnd += DIGEST_BYTES
  }
  return { revision, depths, names: names.join(NAME_SEPARATOR), revisions, templateIndexes, templates: [...templates.keys()], digests: digests.subarray(0, digestEnd) }
}

function getTemplateIndex (templates: Map<string, number>, values: ValuesOrTemplate): number {
  const template = typeof values === 'string' ? values : JSON.stringify(values ?? {})
  const known = templates.get(template)
  if (known !== undefined) return known
  templates.set(template, templates.size)
  return templates.size - 1
}

/** Loads a saved tree into a store that has only its roots. Returns the number of nodes, placeholders excluded. */
export function loadStore (store: NodeStore, saved: SavedTree, isAdapterDepth: (root: string, depth: number) => boolean): number {
  const names = saved.names.split(NAME_SEPARATOR)
  const revisions = Buffer.from(saved.revisions)
  const templateIndexes = Buffer.from(saved.templateIndexes)
  const path: number[] = []
  let digestOffset = 0
  let count = 0
  for (const [index, name] of names.entries()) {
    const depth = saved.depths[index]!
    const parent = depth === 0 ? NO_NODE : path[depth - 1]!
    const id = depth === 0 ? store.findChild(NO_NODE, name) : store.addChild(parent, name, isAdapterDepth(store.getName(path[0]!), depth))
    path[depth] = id
    const template = saved.templates[templateIndexes.readUInt32LE(index * UINT32_BYTES)]!
    const hasDigest = template.includes(DIGEST_MARKER)
    const digest = hasDigest ? saved.digests.subarray(digestOffset, digestOffset + DIGEST_BYTES) : undefined
    if (hasDigest) digestOffset += DIGEST_BYTES
    store.setPacked(id, restorePacked(template, digest))
    const revision = revisions.readUInt32LE(index * UINT32_BYTES)
    store.setRevision(id, revision)
    if (revision > 0) count++
  }
  return count
}
