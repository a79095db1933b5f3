/** Commands that the leader has accepted and not yet answered: queued on arrival, proposed in batches on the voter's runs. */
import { estimateBytes } from '@catkinferry/consensus.log-machine'
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { Command, CommandMessage } from '@catkinferry/wire.messages'
import { MAX_BATCH_BYTES, MAX_BATCH_COMMANDS, MAX_PENDING_BYTES, MAX_PENDING_COMMANDS } from './constants.ts'

type Submit = Extract<CommandMessage, { kind: 'command.submit' }>

/** An accepted command and the host that its answer goes to. */
export interface Submission {
  readonly origin: HostId
  readonly commandId: string
  readonly command: Command
  readonly bytes: number
  readonly receivedAt: MonotonicMs
}

export interface Batch {
  readonly term: number
  readonly submissions: readonly Submission[]
  readonly appendedAt: MonotonicMs
  /** Entries in the log that had not been applied when the batch was appended. */
  readonly entriesBefore: number
}

export interface Intake {
  /** Returns false when a limit is reached. */
  readonly add: (message: Submit, receivedAt: MonotonicMs) => boolean
  /** Removes the commands of the next entry from the queue. */
  readonly takeBatch: () => Submission[]
  /** A batch that was proposed at the same index in an earlier term is kept: it may still be the one that is committed there. */
  readonly recordProposed: (index: number, batch: Batch) => void
  /** Removes and returns the batches that were proposed at an index, in different terms. */
  readonly takeProposed: (index: number) => readonly Batch[]
  /** Removes and returns all commands that were not proposed. */
  readonly takeQueued: () => Submission[]
  /** Drops the batches up to an index, whose outcomes are not known on this host. */
  readonly dropProposedTo: (index: number) => void
  readonly getPendingCount: () => number
  readonly hasQueued: () => boolean
}

/** Creates an empty intake. */
export function createIntake (): Intake {
  let queued: Submission[] = []
  const proposed = new Map<number, Batch[]>()
  let count = 0
  let bytes = 0

  function release (submissions: readonly Submission[]): void {
    count -= submissions.length
    for (const submission of submissions) bytes -= submission.bytes
  }

  return {
    add: ({ origin, commandId, command }, receivedAt) => {
      const size = estimateBytes(command)
      if (count >= MAX_PENDING_COMMANDS || bytes + size > MAX_PENDING_BYTES) return false
      count += 1
      bytes += size
      queued.push({ origin, commandId, command, bytes: size, receivedAt })
      return true
    },
    takeBatch: () => {
      let size = 0
      let length = 0
      for (const submission of queued) {
        size += submission.bytes
        if (length >= MAX_BATCH_COMMANDS || (size > MAX_BATCH_BYTES && length > 0)) break
        length++
      }
      const batch = queued.slice(0, length)
      queued = queued.slice(length)
      return batch
    },
    recordProposed: (index, batch) => {
      const batches = proposed.get(index)
      if (batches === undefined) proposed.set(index, [batch])
      else batches.push(batch)
    },
    takeProposed: index => {
      const batches = proposed.get(index) ?? []
      proposed.delete(index)
      for (const { submissions } of batches) release(submissions)
      return batches
    },
    takeQueued: () => {
      const taken = queued
      queued = []
      release(taken)
      return taken
    },
    dropProposedTo: index => {
      for (const [at, batches] of proposed) {
        if (at > index) continue
        proposed.delete(at)
        for (const { submissions } of batches) release(submissions)
      }
    },
    getPendingCount: () => count,
    hasQueued: () => queued.length > 0
  }
}
