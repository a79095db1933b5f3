/** Opens a data folder for a host that starts; waits while the disk is too full to lock the folder or to create it. */
import { setTimeout as sleep } from 'node:timers/promises'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import { openDurableLog } from './durableLog.ts'
import type { DurableLog, DurableLogOptions } from './durableLog.ts'

/** Time between two attempts. */
const OPEN_RETRY_MS = 500

export interface OpenWhenWritableOptions extends DurableLogOptions {
  readonly logger: Logger
}

/** Opens the folder once there is room; one log line when the wait begins, and one when it ends. */
export async function openWhenWritable ({ logger, ...opts }: OpenWhenWritableOptions): Promise<DurableLog> {
  for (let isWaiting = false; ; isWaiting = true) {
    try {
      const log = await openDurableLog(opts)
      if (isWaiting) logger.info('the disk of the data folder has room again', { step: 'start', folder: opts.folder })
      return log
    } catch (error) {
      if (!(error instanceof CatkinferryError) || error.failure.code !== ErrorCode.DISK_FAILED) throw error
      if (!isWaiting) logger.error('the disk of the data folder is full; the host starts once there is room', { step: 'start', folder: opts.folder, cause: error })
      await sleep(opts.retryMs ?? OPEN_RETRY_MS)
    }
  }
}
