/** The data folder of a core host: opened, put aside when it is damaged, and waited for when its disk fails. */
import { mkdir, readdir, rename, rm, writeFile } from 'node:fs/promises'
import { createFileOperations, openDurableLog } from '@catkinferry/consensus.durable-log'
import type { DurableLog } from '@catkinferry/consensus.durable-log'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import type { HostId } from '@catkinferry/core.types'

export interface DataFolderOptions {
  readonly folder: string
  readonly host: HostId
  readonly group: string
  readonly logger: Logger
}

/** Where files of a damaged folder are kept for inspection; only the last damage is. */
const DAMAGED_FOLDER = 'damaged'
const PROBE_FILE = 'probe'
const PROBE_BYTES = 4_096
const PROBE_INTERVAL_MS = 500

/** The platform runs one process on a folder, so it is not locked. */
async function tryOpen ({ folder, host, group }: DataFolderOptions): Promise<DurableLog> {
  const fs = { ...createFileOperations(), listFolder: listFiles, takeLock: async () => async () => undefined }
  return await openDurableLog({ folder, host, group, fs })
}

async function listFiles (folder: string): Promise<string[]> {
  const names = await readdir(folder)
  return names.filter(name => name !== DAMAGED_FOLDER && name !== PROBE_FILE)
}

async function putAside (folder: string): Promise<void> {
  const aside = `${folder}/${DAMAGED_FOLDER}`
  await rm(aside, { recursive: true, force: true })
  await mkdir(aside)
  for (const name of await listFiles(folder)) await rename(`${folder}/${name}`, `${aside}/${name}`)
}

/**
 * Opens the folder. A damaged one is put aside and an empty one begun: the host is then a new incarnation, which the
 * voters take in as one whose disk was lost, and never votes under its former one.
 */
export async function openDataFolder (opts: DataFolderOptions): Promise<DurableLog> {
  try {
    return await tryOpen(opts)
  } catch (error) {
    if (!(error instanceof CatkinferryError) || error.failure.code !== ErrorCode.DAMAGED_FILE) throw error
    opts.logger.error('the data folder is damaged and put aside; this host begins with an empty one', { step: 'start', cause: error })
    await putAside(opts.folder)
    return await tryOpen(opts)
  }
}

/** Resolves once the disk takes writes; false when `isStopped` says so first. */
export async function waitUntilWritable (folder: string, isStopped: () => boolean): Promise<boolean> {
  const file = `${folder}/${PROBE_FILE}`
  while (!isStopped()) {
    try {
      await writeFile(file, Buffer.alloc(PROBE_BYTES), { flush: true })
      await rm(file, { force: true })
      return true
    } catch {
      // The disk still fails; the loss was logged when it began.
      await new Promise(resolve => setTimeout(resolve, PROBE_INTERVAL_MS))
    }
  }
  return false
}
