/** The interface of a host's subsystems, and the context in which they run. */
import type { HostId, MonotonicMs, WallMs } from '@catkinferry/core.types'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { HostOutput } from './outputs.ts'

/** Passed to each system on each run. */
export interface RunContext {
  readonly now: MonotonicMs
  readonly wallNow: WallMs
  /** Sends to a peer; a message to this host itself is looped back within the run. */
  readonly send: (to: HostId, message: PeerMessage) => void
  readonly emit: (output: HostOutput) => void
}

/** One subsystem of the host. It receives messages, processes dirty and due rows in `run`, and sends its effects through the context. */
export interface System<Message> {
  readonly receive: (from: HostId, message: Message, context: RunContext) => void
  readonly run: (context: RunContext) => void
  /** Time at which `run` is due without a new event; undefined when nothing is. */
  readonly getNextAt: () => MonotonicMs | undefined
}
