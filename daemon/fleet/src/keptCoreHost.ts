/** A core host that starts again inside its process when its disk works again after a failure. */
import type { CoreHost, CoreHostOptions } from './coreHost.ts'
import { startCoreHost } from './coreHost.ts'
import { waitUntilWritable } from './dataFolder.ts'

export type KeptCoreHost = Pick<CoreHost, 'submit' | 'ask' | 'stop' | 'failed'>

/** Starts a core host and keeps it going. Commands that meet a restart end without a clear answer. */
export async function startKeptCoreHost (opts: CoreHostOptions): Promise<KeptCoreHost> {
  const { logger } = opts
  let current = await startCoreHost(opts)
  let stopped = false
  let onFailed: (error: unknown) => void = () => undefined
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })

  async function handleDiskFailure (reason: string): Promise<void> {
    logger.error('the disk has failed; this voter waits until it takes writes again', { step: 'disk', reason })
    const isWritable = await waitUntilWritable(opts.settings.dataFolder ?? '', () => stopped)
    if (!isWritable) return
    await current.stop()
    current = await startCoreHost({ ...opts, settings: { ...opts.settings, bootstrap: false } })
    logger.info('the disk takes writes again and this voter has started anew', { step: 'disk' })
    startWatch()
  }

  function startWatch (): void {
    current.failed.catch(onFailed)
    void current.diskFailed.then(handleDiskFailure).catch(onFailed)
  }

  startWatch()
  return {
    submit: (command, deadlineMs) => current.submit(command, deadlineMs),
    ask: (query, deadlineMs) => current.ask(query, deadlineMs),
    stop: async () => {
      stopped = true
      await current.stop()
    },
    failed
  }
}
