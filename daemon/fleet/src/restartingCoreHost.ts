/** A core host that restarts inside its process once its disk is writable again after a failure. */
import type { CoreHost, CoreHostOptions } from './coreHost.ts'
import { startCoreHost } from './coreHost.ts'
import { waitUntilWritable } from './dataFolder.ts'

export type RestartingCoreHost = Pick<CoreHost, 'submit' | 'query' | 'stop' | 'failed'>

/** Starts a core host that restarts after disk failures. Commands during a restart may end without a definite outcome. */
export async function startRestartingCoreHost (opts: CoreHostOptions): Promise<RestartingCoreHost> {
  const { logger } = opts
  let current = await startCoreHost(opts)
  let stopped = false
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })

  async function handleDiskFailure (reason: string): Promise<void> {
    logger.error('the disk has failed; the voter is inactive until the disk accepts writes', { step: 'disk', reason })
    const isWritable = await waitUntilWritable(opts.settings.dataFolder ?? '', () => stopped)
    if (!isWritable) return
    await current.stop()
    current = await startCoreHost({ ...opts, settings: { ...opts.settings, bootstrap: false } })
    logger.info('the disk accepts writes again; restarted the voter', { step: 'disk' })
    startWatch()
  }

  function startWatch (): void {
    current.failed.catch(onFailed)
    void current.diskFailed.then(handleDiskFailure).catch(onFailed)
  }

  startWatch()
  return {
    submit: (command, deadlineMs, logFields) => current.submit(command, deadlineMs, logFields),
    query: (query, deadlineMs) => current.query(query, deadlineMs),
    stop: async () => {
      stopped = true
      await current.stop()
    },
    failed
  }
}
