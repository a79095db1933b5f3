/** Computes the addresses that sockets are bound to when the machine's own IP differs from the address that others use. */
import { parseAddress } from '@catkinferry/core.types'

/** Returns the address to bind for a public `ip:port`: the same port on `bindIp`, if that is set. */
export function getBindAddress (address: string, bindIp: string | undefined): string {
  return bindIp === undefined ? address : `${bindIp}:${parseAddress(address).port}`
}
