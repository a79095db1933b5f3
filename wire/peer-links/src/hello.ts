/** The hello that both ends of a peer link send first, and the pings and pongs that follow. */
import { PEER_PROTOCOL_VERSION } from '@catkinferry/core.constants'
import type { HostId } from '@catkinferry/core.types'

export interface Hello {
  readonly kind: 'link.hello'
  readonly protocol: number
  readonly host: HostId
  readonly group: string
}

export type LinkMessage = Hello | { readonly kind: 'link.ping' } | { readonly kind: 'link.pong' }

export function createHello (host: HostId, group: string): Hello {
  return { kind: 'link.hello', protocol: PEER_PROTOCOL_VERSION, host, group }
}

/** Validates the first frame received on a link; returns the peer's host, or the reason why the frame is refused. */
export function checkHello (value: unknown, group: string): { readonly host: HostId } | { readonly refused: string } {
  const hello = value as Partial<Hello> | null
  if (typeof hello !== 'object' || hello?.kind !== 'link.hello' || typeof hello.host !== 'string') return { refused: 'the first frame is not a hello' }
  if (hello.protocol !== PEER_PROTOCOL_VERSION) return { refused: `it uses protocol version ${String(hello.protocol)}, not ${PEER_PROTOCOL_VERSION}` }
  if (hello.group !== group) return { refused: `it belongs to group '${String(hello.group)}', not to '${group}'` }
  return { host: hello.host }
}
