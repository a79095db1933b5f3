/** Health checks that show whether the path from this host to an endpoint works. */
import { get } from 'node:http'
import { startTurningLimit } from '@catkinferry/core.clock'
import { isConnectable, parseAddress } from '@catkinferry/core.types'
import { PROBE_TIMEOUT_MS } from './constants.ts'

/** Other characters make Node.js throw. */
const REQUEST_PATH = /^\/[\x21-\x7e]*$/
/** Any response will do. */
const DEFAULT_PATH = '/'

/** Whether the endpoint answers a health check with any response. */
export function probeHealth (opts: { readonly address: string, readonly healthPath: string, readonly localIp?: string }): Promise<boolean> {
  const { address, healthPath, localIp } = opts
  if (!isConnectable(address)) return Promise.resolve(false)
  return new Promise(resolve => {
    const outgoing = get({ ...parseAddress(address), path: REQUEST_PATH.test(healthPath) ? healthPath : DEFAULT_PATH, agent: false, localAddress: localIp }, res => {
      resolve(true)
      outgoing.destroy()
      res.on('error', () => undefined)
    })
    const limit = startTurningLimit(PROBE_TIMEOUT_MS, () => outgoing.destroy())
    outgoing.on('error', () => resolve(false))
    outgoing.on('close', () => {
      limit.cancel()
      resolve(false)
    })
  })
}
