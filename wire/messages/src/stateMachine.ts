/** Interface of the replicated state to the log that replicates it. */
import type { WallMs } from '@catkinferry/core.types'
import type { Command, CommandOutcome, Query } from './commands.ts'

/** Must be deterministic: the same commands in the same order give the same state and outcomes on every voter. */
export interface StateMachine {
  readonly apply: (opts: { readonly index: number, readonly proposedAt: WallMs, readonly command: Command }) => CommandOutcome
  /** Returns what is wrong with the structure of a command, which is then not proposed; undefined if nothing is. */
  readonly checkCommand: (command: Command) => string | undefined
  readonly takeSnapshot: () => Uint8Array
  /** Replaces the whole state. */
  readonly restoreSnapshot: (data: Uint8Array) => void
  /** Plain data for an operator or a host. */
  readonly answerQuery: (query: Query) => unknown
}
