/** Nodes of the settings trees in columns: a few dozen bytes a node, since the models tree holds hundreds of thousands. */
import { createHashIndex, hashName } from './hashIndex.ts'
import { formatPacked, packValues, unpackValues } from './packValues.ts'
import type { NodeValues, PackedValues } from './packValues.ts'
import { createNameSharer } from './shareNames.ts'

/** No node: absent parent, child or sibling. */
export const NO_NODE = -1

const INITIAL_CAPACITY = 64
const GROWTH = 1.25

/** Node ids are small integers; a node keeps its id until it is removed, then the id may be used again. */
export interface NodeStore {
  readonly findChild: (parent: number, name: string) => number
  readonly findAdapter: (name: string) => number
  /** Adds a placeholder: a node that exists for its descendants only, with revision 0. */
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
  readonly setNode: (id: number, revision: number, values: NodeValues) => void
  readonly getFirstChild: (id: number) => number
  readonly getNextSibling: (id: number) => number
  /** One more than the highest id ever used. */
  readonly getIdLimit: () => number
}

interface Columns {
  parent: Int32Array
  hash: Int32Array
  firstChild: Int32Array
  lastChild: Int32Array
  next: Int32Array
  previous: Int32Array
  revision: Float64Array
  /** Bit 0: in use; bit 1: adapter. */
  flags: Uint8Array
}

const IN_USE = 1
const ADAPTER = 2

function createColumns (size: number): Columns {
  return {
    parent: new Int32Array(size),
    hash: new Int32Array(size),
    firstChild: new Int32Array(size),
    lastChild: new Int32Array(size),
    next: new Int32Array(size),
    previous: new Int32Array(size),
    revision: new Float64Array(size),
    flags: new Uint8Array(size)
  }
}

function copyColumns (from: Columns, size: number): Columns {
  const to = createColumns(size)
  for (const name of Object.keys(to) as (keyof Columns)[]) to[name].set(from[name])
  return to
}

/** Creates a store without nodes. */
export function createNodeStore (): NodeStore {
  let columns = createColumns(INITIAL_CAPACITY)
  let idLimit = 0
  const names: string[] = []
  const values: PackedValues[] = []
  const freeIds: number[] = []
  const shareName = createNameSharer()
  const children = createHashIndex({ getHash: id => columns.hash[id]! })
  const adapters = createHashIndex({ getHash: id => hashName(0, names[id]!) })

  function takeId (): number {
    const free = freeIds.pop()
    if (free !== undefined) return free
    if (idLimit === columns.parent.length) columns = copyColumns(columns, Math.ceil(idLimit * GROWTH))
    return idLimit++
  }

  function linkLast (parent: number, id: number): void {
    const last = columns.lastChild[parent]!
    columns.previous[id] = last
    columns.next[id] = NO_NODE
    if (last === NO_NODE) columns.firstChild[parent] = id
    else columns.next[last] = id
    columns.lastChild[parent] = id
  }

  function unlink (parent: number, id: number): void {
    const previous = columns.previous[id]!
    const next = columns.next[id]!
    if (previous === NO_NODE) columns.firstChild[parent] = next
    else columns.next[previous] = next
    if (next === NO_NODE) columns.lastChild[parent] = previous
    else columns.previous[next] = previous
  }

  return {
    findChild: (parent, name) => children.find(hashName(parent, name), id => columns.parent[id] === parent && names[id] === name),
    findAdapter: name => adapters.find(hashName(0, name), id => names[id] === name),
    addChild: (parent, name, isAdapter) => {
      const id = takeId()
      names[id] = shareName(name)
      values[id] = undefined
      columns.parent[id] = parent
      columns.hash[id] = hashName(parent, name)
      columns.firstChild[id] = NO_NODE
      columns.lastChild[id] = NO_NODE
      columns.revision[id] = 0
      columns.flags[id] = isAdapter ? IN_USE | ADAPTER : IN_USE
      columns.next[id] = NO_NODE
      if (parent !== NO_NODE) linkLast(parent, id)
      children.add(id)
      if (isAdapter) adapters.add(id)
      return id
    },
    removeLeaf: id => {
      children.remove(id)
      if ((columns.flags[id]! & ADAPTER) !== 0) adapters.remove(id)
      const parent = columns.parent[id]!
      if (parent !== NO_NODE) unlink(parent, id)
      columns.flags[id] = 0
      names[id] = ''
      values[id] = undefined
      freeIds.push(id)
    },
    isUsed: id => (columns.flags[id]! & IN_USE) !== 0,
    isAdapter: id => (columns.flags[id]! & ADAPTER) !== 0,
    getName: id => names[id]!,
    getParent: id => columns.parent[id]!,
    getRevision: id => columns.revision[id]!,
    getValues: id => unpackValues(values[id]),
    getValuesJson: id => formatPacked(values[id]),
    setNode: (id, revision, nodeValues) => {
      columns.revision[id] = revision
      values[id] = packValues(nodeValues)
    },
    getFirstChild: id => columns.firstChild[id]!,
    getNextSibling: id => columns.next[id]!,
    getIdLimit: () => idLimit
  }
}
