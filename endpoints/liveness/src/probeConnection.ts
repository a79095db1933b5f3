/** Opens a connection to see whether anything listens. Called by hosts for endpoints of which they are in doubt. */
import { connect } from 'node:net'
import { startTurningLimit } from '@catkinferry/core.clock'
import { isConnectable, parseAddress } from '@catkinferry/core.types'
import type { DurationMs } from '@catkinferry/core.types'

export interface ProbeOptions {
  /** `ip:port` */
  readonly address: string
  /** Where the connection is opened from; undefined: any address of the host. */
  readonly localIp?: string | undefined
  readonly timeoutMs: DurationMs
}

/** Whether a connection to the endpoint can be opened. */
export function probeConnection ({ address, localIp, timeoutMs }: ProbeOptions): Promise<boolean> {
  if (!isConnectable(address)) return Promise.resolve(false)
  return new Promise(resolve => {
    const socket = connect({ ...parseAddress(address), localAddress: localIp })
    const finish = (isOpen: boolean): void => {
      limit.cancel()
      socket.destroy()
      resolve(isOpen)
    }
    const limit = startTurningLimit(timeoutMs, () => finish(false))
    socket.on('connect', () => finish(true))
    socket.on('error', () => finish(false))
  })
}
