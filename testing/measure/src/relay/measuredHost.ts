/** Host under test of the relay experiment: the dev host in front of engines that run in other threads. */
import { createDemoAdapter, startDevHost, waitUntilReady } from '@catkinferry/cli.main'

export interface MeasuredHost {
  readonly callerUrl: string
  readonly stop: () => Promise<void>
}

/** Starts the host and creates the adapter `greeter@v1`. */
export async function startMeasuredHost (engineUrls: readonly string[]): Promise<MeasuredHost> {
  const { daemon, store } = await startDevHost({ caller: 0, operator: 0 }, engineUrls)
  await createDemoAdapter(daemon.operatorUrl)
  await waitUntilReady(daemon.callerUrl)
  return {
    callerUrl: daemon.callerUrl,
    stop: async () => {
      daemon.cut()
      await daemon.stopped
      await store.dispose()
    }
  }
}
