/** In-memory file operations for tests: a crash loses unsynced data, and a fault can be injected at any operation. */
import type { Random } from '@catkinferry/core.random'
import type { FileOperations } from '../src/index.ts'

interface Inode {
  data: Buffer
  synced: number
  /** A sync has failed: what was written before it can be read, but no later sync makes it durable. */
  isDropped?: boolean
}

type FolderChange = (names: Map<string, Inode>) => void

export interface Fault {
  /** Number of the operation, counted from 1, at which the fault happens. */
  readonly at: number
  readonly kind: 'kill' | 'syncFails' | 'diskFull' | 'operationFails'
  /** Number of a second operation that fails. */
  readonly again?: number
  /** The disk is full until this operation, by default until the fault is taken back. */
  readonly until?: number
}

const SECTOR_BYTES = 512

export function createMemoryFiles (random: Random) {
  let names = new Map<string, Inode>()
  let durableNames = new Map<string, Inode>()
  let pendingChanges: FolderChange[] = []
  let operations = 0
  let fault: Fault | undefined
  let isKilled = false
  let locked = false

  /**
   * Counts an operation that changes files and injects the fault; `applyPart` applies the part of the operation that
   * still takes effect on a kill or a full disk.
   */
  function countOperation (kind: 'write' | 'sync' | 'folder', applyPart: () => void = () => undefined): void {
    if (isKilled) throw new Error('killed')
    operations++
    if (fault === undefined || operations < fault.at || operations >= (fault.until ?? Infinity)) return
    if (fault.kind === 'kill') {
      applyPart()
      isKilled = true
      throw new Error('killed')
    }
    if (fault.kind === 'operationFails' && [fault.at, fault.again].includes(operations)) throw Object.assign(new Error('EIO: i/o error'), { code: 'EIO' })
    if (fault.kind === 'syncFails' && kind === 'sync') {
      fault = undefined
      throw Object.assign(new Error('EIO: i/o error, fdatasync'), { code: 'EIO' })
    }
    if (fault.kind === 'diskFull' && kind === 'write') {
      applyPart()
      throw Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' })
    }
  }

  function changeFolder (change: FolderChange): void {
    countOperation('folder')
    change(names)
    pendingChanges.push(change)
  }

  function getInode (path: string): Inode {
    const inode = names.get(path)
    if (inode === undefined) throw Object.assign(new Error(`ENOENT: no such file, ${path}`), { code: 'ENOENT' })
    return inode
  }

  const fs: FileOperations = {
    makeFolder: async () => undefined,
    listFolder: async folder => [...names.keys()].filter(path => path.startsWith(`${folder}/`)).map(path => path.slice(folder.length + 1)),
    readFile: async path => names.has(path) ? Buffer.from(getInode(path).data) : undefined,
    createFile: async path => {
      const inode: Inode = { data: Buffer.alloc(0), synced: 0 }
      changeFolder(map => { map.set(path, inode) })
      const append = (data: Uint8Array): void => { inode.data = Buffer.concat([inode.data, data]) }
      return {
        write: async data => {
          countOperation('write', () => append(data.subarray(0, random.nextInt(0, data.byteLength))))
          append(data)
        },
        sync: async () => {
          try {
            countOperation('sync')
          } catch (error) {
            inode.isDropped = true
            throw error
          }
          if (inode.isDropped !== true) inode.synced = inode.data.byteLength
        },
        close: async () => undefined
      }
    },
    rename: async (from, to) => {
      const inode = getInode(from)
      changeFolder(map => {
        map.delete(from)
        map.set(to, inode)
      })
    },
    removeFile: async path => changeFolder(map => { map.delete(path) }),
    truncateFile: async (path, bytes) => {
      countOperation('sync')
      const inode = getInode(path)
      inode.data = inode.data.subarray(0, bytes)
      inode.synced = Math.min(inode.synced, bytes)
      if (inode.synced === bytes) inode.isDropped = false
    },
    syncFolder: async () => {
      countOperation('sync')
      durableNames = new Map(names)
      pendingChanges = []
    },
    takeLock: async path => {
      if (locked) throw new Error(`${path} is locked`)
      locked = true
      return async () => { locked = false }
    }
  }

  /** Keeps part of the unsynced data: its first bytes, possibly with an earlier sector lost and a later one kept. */
  function loseUnsynced (inode: Inode): void {
    const { data, synced } = inode
    const kept = Buffer.from(data.subarray(0, random.nextInt(synced, data.byteLength)))
    const hole = Math.ceil(synced / SECTOR_BYTES) * SECTOR_BYTES
    if (random.nextInt(0, 3) === 0 && hole + SECTOR_BYTES < kept.byteLength) kept.fill(0, hole, hole + SECTOR_BYTES)
    inode.data = kept
    inode.synced = kept.byteLength
  }

  return {
    fs,
    getOperations: () => operations,
    setFault: (next: Fault | undefined) => { fault = next },
    getNames: () => [...names.keys()].sort(),
    getData: (path: string) => getInode(path).data,
    /** Simulates a power loss: the process ends, and unsynced changes may be lost. */
    crash: () => {
      for (const change of pendingChanges.slice(0, random.nextInt(0, pendingChanges.length))) change(durableNames)
      names = new Map(durableNames)
      pendingChanges = []
      for (const inode of names.values()) loseUnsynced(inode)
      fault = undefined
      isKilled = false
      locked = false
    }
  }
}

export type MemoryFiles = ReturnType<typeof createMemoryFiles>
