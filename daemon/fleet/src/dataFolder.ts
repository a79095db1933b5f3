/** Opens the data folder of a core host. A damaged folder is moved aside. */
import { mkdir, readdir, rename, rm } from 'node:fs/promises'
import { createFileOperations, openWhenWritable } from '@catkinferry/consensus.durable-log'
import type { DurableLog } from '@catkinferry/consensus.durable-log'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import type { HostId } from '@catkinferry/core.types'

export interface DataFolderOptions {
  readonly folder: string
  readonly host: HostId
  readonly group: string
  readonly logger: Logger
  /** Called after a failure of the open folder that waiting cannot mend. */
  readonly onBroken?: (error: unknown) => void
}

/** Subfolder that keeps the files of a damaged folder for inspection. Only the most recent ones are kept. */
const DAMAGED_FOLDER = 'damaged'

/** Opens the folder without a lock: the platform runs only one process per folder. */
async function tryOpen (opts: DataFolderOptions): Promise<DurableLog> {
  const fs = { ...createFileOperations(), listFolder: listFiles, takeLock: async () => async () => undefined }
  return await openWhenWritable({ ...opts, fs })
}

async function listFiles (folder: string): Promise<string[]> {
  const names = await readdir(folder)
  return names.filter(name => name !== DAMAGED_FOLDER)
}

async function moveDamagedFiles (folder: string): Promise<void> {
  const damagedFolder = `${folder}/${DAMAGED_FOLDER}`
  await rm(damagedFolder, { recursive: true, force: true })
  await mkdir(damagedFolder)
  for (const name of await listFiles(folder)) await rename(`${folder}/${name}`, `${damagedFolder}/${name}`)
}

/**
 * Opens the folder. The files of a damaged folder are moved aside and the host starts with an empty one, as a new incarnation.
 * The voters treat it like a host that lost its disk, and it never votes under its former incarnation.
 */
export async function openDataFolder (opts: DataFolderOptions): Promise<DurableLog> {
  try {
    return await tryOpen(opts)
  } catch (error) {
    if (!(error instanceof CatkinferryError) || error.failure.code !== ErrorCode.DAMAGED_FILE) throw error
    opts.logger.error('the data folder is damaged; moved its files aside and started with an empty one', { step: 'start', cause: error })
    await moveDamagedFiles(opts.folder)
    return await tryOpen(opts)
  }
}
