/** Addresses that this machine's sockets are bound to. */
import { parseAddress } from '@catkinferry/core.types'

/** Gives the address to listen at for one that others know: the same port at `bindIp`, where there is one. */
export function getBindAddress (address: string, bindIp: string | undefined): string {
  return bindIp === undefined ? address : `${bindIp}:${parseAddress(address).port}`
}
