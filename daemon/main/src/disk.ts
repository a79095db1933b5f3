/** Interface of a voter's disk. */
import type { DiskAnswer, DiskRequest } from '@catkinferry/wire.messages'

export interface Disk {
  /** Executes the request and calls `onAnswer` when the result is durable. */
  readonly request: (request: DiskRequest, onAnswer: (answer: DiskAnswer) => void) => void
  /** Sets the listener for failures and recoveries of the disk. */
  readonly watch: (onAnswer: (answer: DiskAnswer) => void) => void
  readonly close: () => Promise<void>
}
