/** File operations of the durable log, at startup and on each write. Tests replace them to inject a failure at any operation. */
import { constants } from 'node:fs'
import { mkdir, open, readdir, readFile, rename, rm, truncate } from 'node:fs/promises'
import type { FileHandle } from 'node:fs/promises'
import { takeFileLock } from './fileLock.ts'

export interface AppendFile {
  readonly write: (data: Uint8Array) => Promise<void>
  /** Resolves once the contents are on disk. */
  readonly sync: () => Promise<void>
  readonly close: () => Promise<void>
}

export interface FileOperations {
  readonly makeFolder: (path: string) => Promise<void>
  readonly listFolder: (path: string) => Promise<string[]>
  /** Undefined when there is no such file. */
  readonly readFile: (path: string) => Promise<Uint8Array | undefined>
  /** Creates an empty file and opens it for writing at its end. */
  readonly createFile: (path: string) => Promise<AppendFile>
  readonly rename: (from: string, to: string) => Promise<void>
  readonly removeFile: (path: string) => Promise<void>
  /** Truncates a file to `bytes` and syncs it. */
  readonly truncateFile: (path: string, bytes: number) => Promise<void>
  /** Makes creations, renames and removals in a folder durable. */
  readonly syncFolder: (path: string) => Promise<void>
  /** Resolves to the release function; rejects when another live process holds the lock. */
  readonly takeLock: (path: string) => Promise<() => Promise<void>>
}

async function runOnHandle (handle: FileHandle, work: () => Promise<void>): Promise<void> {
  try {
    await work()
  } finally {
    await handle.close()
  }
}

async function readIfPresent (path: string): Promise<Uint8Array | undefined> {
  try {
    return await readFile(path)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw error
  }
}

async function writeAll (handle: FileHandle, data: Uint8Array): Promise<void> {
  let written = 0
  while (written < data.byteLength) {
    const { bytesWritten } = await handle.write(data, written, data.byteLength - written)
    written += bytesWritten
  }
}

/** Creates the operations on the real file system. */
export function createFileOperations (): FileOperations {
  return {
    makeFolder: async path => { await mkdir(path, { recursive: true, mode: 0o700 }) },
    listFolder: path => readdir(path),
    readFile: readIfPresent,
    createFile: async path => {
      const handle = await open(path, constants.O_CREAT | constants.O_TRUNC | constants.O_WRONLY | constants.O_APPEND, 0o600)
      return {
        write: data => writeAll(handle, data),
        sync: () => handle.datasync(),
        close: () => handle.close()
      }
    },
    rename,
    removeFile: path => rm(path, { force: true }),
    truncateFile: async (path, bytes) => {
      await truncate(path, bytes)
      const handle = await open(path, 'r+')
      await runOnHandle(handle, () => handle.sync())
    },
    syncFolder: async path => {
      const handle = await open(path, 'r')
      await runOnHandle(handle, () => handle.sync())
    },
    takeLock: takeFileLock
  }
}
