/**
 * Checks whether requests can be sent to an endpoint as it was listed. Node.js throws for ports out of range and for header
 * values with other characters.
 */
import type { ListedEndpoint } from './endpoints.ts'

const MAX_PORT = 65_535
const ADDRESS = /^(.+):(\d{1,5})$/
/** The ID of an endpoint is sent in a header. */
const VISIBLE_ASCII = /^[\x21-\x7e]+$/

/** Whether a text is `ip:port` with a port that can be connected to. */
export function isConnectable (address: unknown): boolean {
  if (typeof address !== 'string') return false
  const [, , port] = ADDRESS.exec(address) ?? []
  return port !== undefined && Number(port) >= 1 && Number(port) <= MAX_PORT
}

/** Whether requests can be sent to an endpoint with this ID at this address. */
export function isUsableEndpoint ({ endpoint, address }: Pick<ListedEndpoint, 'endpoint' | 'address'>): boolean {
  return typeof endpoint === 'string' && VISIBLE_ASCII.test(endpoint) && isConnectable(address)
}
