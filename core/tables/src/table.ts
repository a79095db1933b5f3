/** A table of entities by id. It records which rows changed, so that a run visits only those marked dirty since the last one. */

export interface Table<Id, Row> {
  readonly get: (id: Id) => Row | undefined
  readonly has: (id: Id) => boolean
  /** Inserts or replaces a row and marks it dirty. */
  readonly put: (id: Id, row: Row) => void
  readonly remove: (id: Id) => boolean
  readonly markDirty: (id: Id) => void
  /** Returns the dirty ids in the order in which they were marked, and clears the marks. */
  readonly takeDirty: () => Id[]
  readonly getDirtyCount: () => number
  readonly getSize: () => number
  readonly rows: () => IterableIterator<Row>
  readonly entries: () => IterableIterator<[Id, Row]>
}

/** Creates an empty table. */
export function createTable<Id, Row> (): Table<Id, Row> {
  const rows = new Map<Id, Row>()
  const dirty = new Set<Id>()
  return {
    get: id => rows.get(id),
    has: id => rows.has(id),
    put: (id, row) => {
      rows.set(id, row)
      dirty.add(id)
    },
    remove: id => {
      dirty.delete(id)
      return rows.delete(id)
    },
    markDirty: id => { dirty.add(id) },
    takeDirty: () => {
      if (dirty.size === 0) return []
      const taken = [...dirty]
      dirty.clear()
      return taken
    },
    getDirtyCount: () => dirty.size,
    getSize: () => rows.size,
    rows: () => rows.values(),
    entries: () => rows.entries()
  }
}
