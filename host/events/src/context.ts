/** What each system is handed on each run. */
import type { HostId, MonotonicMs, WallMs } from '@catkinferry/core.types'
import type { PeerMessage } from '@catkinferry/wire.messages'
import type { HostOutput } from './outputs.ts'

/** Handed to each system on each run. */
export interface RunContext {
  readonly now: MonotonicMs
  readonly wallNow: WallMs
  /** Sends to a peer; a message to this host itself is looped back within the same run. */
  readonly send: (to: HostId, message: PeerMessage) => void
  readonly emit: (output: HostOutput) => void
}

/** One subsystem of the host. Messages go in, `run` acts on dirty and due rows, effects go out through the context. */
export interface System<Message> {
  readonly receive: (from: HostId, message: Message, context: RunContext) => void
  readonly run: (context: RunContext) => void
  /** When `run` has something to do without a new event; undefined when nothing is due. */
  readonly getNextAt: () => MonotonicMs | undefined
}
