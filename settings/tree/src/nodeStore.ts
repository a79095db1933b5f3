/** Column store for the nodes of the settings trees. A node takes a few dozen bytes, because the models tree has hundreds of thousands of them. */
import { createDigestStore, NO_DIGEST } from './digestStore.ts'
import { createHashIndex, hashName } from './hashIndex.ts'
import { formatPacked, mayHaveKey, packValues, unpackValues } from './packValues.ts'
import type { NodeValues, Packed, TemplateNames, ValuesOrTemplate } from './packValues.ts'
import { createNameSharer } from './shareNames.ts'

/** Id that stands for an absent parent, child or sibling. */
export const NO_NODE = -1

const INITIAL_CAPACITY = 64
const GROWTH_FACTOR = 1.25

/** Node ids are small integers. An id is stable until its node is removed; after that it may be reused. */
export interface NodeStore {
  readonly findChild: (parent: number, name: string) => number
  readonly findAdapter: (name: string) => number
  /** Adds a placeholder: a node with revision 0 that exists only as an ancestor of other nodes. */
  readonly addChild: (parent: number, name: string, isAdapter: boolean) => number
  /** Removes a node that has no children. */
  readonly removeLeaf: (id: number) => void
  /** False for an id that is not in use. */
  readonly isUsed: (id: number) => boolean
  readonly isAdapter: (id: number) => boolean
  readonly getName: (id: number) => string
  readonly getParent: (id: number) => number
  readonly getRevision: (id: number) => number
  readonly getValues: (id: number) => NodeValues
  /** The values as JSON, keys sorted. */
  readonly getValuesJson: (id: number) => string
  readonly hasKey: (id: number, key: string) => boolean
  readonly getPacked: (id: number) => Packed
  readonly setPacked: (id: number, packed: Packed) => void
  readonly setRevision: (id: number, revision: number) => void
  readonly setNode: (id: number, revision: number, values: NodeValues) => void
  readonly getFirstChild: (id: number) => number
  readonly getNextSibling: (id: number) => number
  /** One more than the highest id ever used. */
  readonly getIdLimit: () => number
}

interface Columns {
  parent: Int32Array
  firstChild: Int32Array
  next: Int32Array
  /** Previous sibling; for a first child, the last sibling. */
  previous: Int32Array
  digestSlot: Int32Array
  revision: Uint32Array
  /** Bit 0: in use; bit 1: adapter. */
  flags: Uint8Array
}

const IN_USE = 1
const ADAPTER = 2

function createColumns (size: number): Columns {
  return {
    parent: new Int32Array(size),
    firstChild: new Int32Array(size),
    next: new Int32Array(size),
    previous: new Int32Array(size),
    digestSlot: new Int32Array(size),
    revision: new Uint32Array(size),
    flags: new Uint8Array(size)
  }
}

function copyColumns (from: Columns, size: number): Columns {
  const to = createColumns(size)
  for (const name of Object.keys(to) as (keyof Columns)[]) to[name].set(from[name])
  return to
}

function linkLast (columns: Columns, parent: number, id: number): void {
  const first = columns.firstChild[parent]!
  columns.next[id] = NO_NODE
  if (first === NO_NODE) {
    columns.firstChild[parent] = id
    columns.previous[id] = id
    return
  }
  const last = columns.previous[first]!
  columns.next[last] = id
  columns.previous[id] = last
  columns.previous[first] = id
}

function unlink (columns: Columns, parent: number, id: number): void {
  const first = columns.firstChild[parent]!
  const previous = columns.previous[id]!
  const next = columns.next[id]!
  if (first === id) columns.firstChild[parent] = next
  else columns.next[previous] = next
  if (next !== NO_NODE) columns.previous[next] = previous
  else if (first !== id) columns.previous[first] = previous
}

/** Creates a store without nodes. */
export function createNodeStore (): NodeStore {
  let columns = createColumns(INITIAL_CAPACITY)
  let idLimit = 0
  const names: string[] = []
  const values: ValuesOrTemplate[] = []
  const freeIds: number[] = []
  const shareName = createNameSharer()
  const digests = createDigestStore()
  const children = createHashIndex({ getHash: id => hashName(columns.parent[id]!, names[id]!) })
  const adapters = createHashIndex({ getHash: id => hashName(0, names[id]!) })

  function allocateId (): number {
    const free = freeIds.pop()
    if (free !== undefined) return free
    if (idLimit === columns.parent.length) columns = copyColumns(columns, Math.ceil(idLimit * GROWTH_FACTOR))
    return idLimit++
  }

  function getNames (id: number): TemplateNames {
    const parent = columns.parent[id]!
    return { name: names[id]!, parent: parent === NO_NODE ? names[id]! : names[parent]! }
  }

  function getPacked (id: number): Packed {
    const slot = columns.digestSlot[id]!
    return { values: values[id], digest: slot === NO_DIGEST ? undefined : digests.get(slot) }
  }

  function setPacked (id: number, packed: Packed): void {
    const slot = columns.digestSlot[id]!
    if (slot !== NO_DIGEST) digests.remove(slot)
    columns.digestSlot[id] = packed.digest === undefined ? NO_DIGEST : digests.add(packed.digest)
    values[id] = packed.values
  }

  return {
    findChild: (parent, name) => children.find(hashName(parent, name), id => columns.parent[id] === parent && names[id] === name),
    findAdapter: name => adapters.find(hashName(0, name), id => names[id] === name),
    addChild: (parent, name, isAdapter) => {
      const id = allocateId()
      names[id] = shareName(name)
      values[id] = undefined
      columns.parent[id] = parent
      columns.firstChild[id] = NO_NODE
      columns.next[id] = NO_NODE
      columns.digestSlot[id] = NO_DIGEST
      columns.revision[id] = 0
      columns.flags[id] = isAdapter ? IN_USE | ADAPTER : IN_USE
      if (parent !== NO_NODE) linkLast(columns, parent, id)
      children.add(id)
      if (isAdapter) adapters.add(id)
      return id
    },
    removeLeaf: id => {
      children.remove(id)
      if ((columns.flags[id]! & ADAPTER) !== 0) adapters.remove(id)
      const parent = columns.parent[id]!
      if (parent !== NO_NODE) unlink(columns, parent, id)
      setPacked(id, { values: undefined })
      columns.flags[id] = 0
      names[id] = ''
      freeIds.push(id)
    },
    isUsed: id => (columns.flags[id]! & IN_USE) !== 0,
    isAdapter: id => (columns.flags[id]! & ADAPTER) !== 0,
    getName: id => names[id]!,
    getParent: id => columns.parent[id]!,
    getRevision: id => columns.revision[id]!,
    getValues: id => unpackValues(getPacked(id), getNames(id)),
    getValuesJson: id => formatPacked(getPacked(id), getNames(id)),
    hasKey: (id, key) => mayHaveKey(values[id], key, getNames(id)) && Object.hasOwn(unpackValues(getPacked(id), getNames(id)), key),
    getPacked,
    setPacked,
    setRevision: (id, revision) => { columns.revision[id] = revision },
    setNode: (id, revision, nodeValues) => {
      columns.revision[id] = revision
      setPacked(id, packValues(nodeValues, getNames(id)))
    },
    getFirstChild: id => columns.firstChild[id]!,
    getNextSibling: id => columns.next[id]!,
    getIdLimit: () => idLimit
  }
}
