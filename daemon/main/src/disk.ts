/** What the shell needs of a voter's disk. */
import type { DiskAnswer, DiskRequest } from '@catkinferry/wire.messages'

export interface Disk {
  /** Carries the request out and answers when it is durable. */
  readonly request: (request: DiskRequest, onAnswer: (answer: DiskAnswer) => void) => void
  readonly close: () => Promise<void>
}
