/** Interface of the peer links to other hosts. */
import type { HostId } from '@catkinferry/core.types'
import type { PeerMessage } from '@catkinferry/wire.messages'

export interface Links {
  /** Returns false if the message was dropped. */
  readonly send: (to: HostId, message: PeerMessage) => boolean
  readonly close: () => Promise<void>
}

/** Links of a host without peers. */
export const NO_LINKS: Links = { send: () => false, close: async () => undefined }
