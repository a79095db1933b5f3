/**
 * Requests disk writes and defers messages until the writes that they depend on are durable. Used wherever the machine
 * changes its log, term, vote or snapshot; deferred messages are sent when the disk answers.
 */
import type { HostId } from '@catkinferry/core.types'
import type { ConsensusMessage, DiskRequest, LogEntry, Snapshot } from '@catkinferry/wire.messages'
import { applyMemberships } from './state.ts'
import type { LogTail, MachineContext, MachineState, PendingWrite } from './state.ts'

type RequestBody = DiskRequest extends infer Request ? Request extends DiskRequest ? Omit<Request, 'writeId'> : never : never

function requestWrite (state: MachineState, body: RequestBody, pending: Omit<PendingWrite, 'writeId'>, context: MachineContext): number {
  const writeId = ++state.lastWriteId
  state.pendingWrites.push({ writeId, ...pending })
  if (body.kind !== 'snapshot') state.lastLogWriteId = writeId
  context.requestDisk({ ...body, writeId } as DiskRequest)
  return writeId
}

/** Writes the term and the vote. */
export function saveHardState (state: MachineState, context: MachineContext): number {
  const { term, votedFor } = state
  return requestWrite(state, { kind: 'hardState', state: votedFor === undefined ? { term } : { term, votedFor } }, {}, context)
}

/** Appends entries after the last one: in memory at once, on disk later. */
export function addEntries (state: MachineState, entries: readonly LogEntry[], context: MachineContext): void {
  if (entries.length === 0) return
  state.log.add(entries)
  applyMemberships(state, entries)
  requestWrite(state, { kind: 'append', entries }, { lastIndex: state.log.getLastIndex() }, context)
}

/** Replaces all entries from the index of the first of `entries` on. */
export function replaceEntries (state: MachineState, entries: readonly LogEntry[], context: MachineContext): void {
  const index = entries[0]?.index
  if (index === undefined) return
  if (index <= state.commitIndex) throw new Error(`entry ${index} is committed and must not be replaced`)
  state.log.truncateFrom(index)
  while ((state.memberships.at(-1)?.index ?? 0) >= index && state.memberships.length > 1) state.memberships.pop()
  state.durableIndex = Math.min(state.durableIndex, index - 1)
  for (const pending of state.pendingWrites) {
    if (pending.lastIndex !== undefined) pending.lastIndex = Math.min(pending.lastIndex, index - 1)
  }
  state.log.add(entries)
  applyMemberships(state, entries)
  requestWrite(state, { kind: 'replaceFrom', index, entries }, { lastIndex: state.log.getLastIndex() }, context)
}

/** Writes a snapshot, either this voter's own or one from the leader. */
export function saveSnapshot (state: MachineState, snapshot: Snapshot, use: { replacesState: true } | { tail: LogTail }, context: MachineContext): number {
  return requestWrite(state, { kind: 'snapshot', snapshot }, { snapshot, ...use }, context)
}

/**
 * Sends a message once all writes requested so far, except snapshots, are durable. It is dropped if the term has
 * changed by then.
 */
export function sendWhenDurable (state: MachineState, to: HostId, message: ConsensusMessage, context: MachineContext): void {
  if (state.durableWriteId >= state.lastLogWriteId) {
    context.send(to, message)
    return
  }
  state.deferredMessages.push({ afterWrite: state.lastLogWriteId, term: state.term, to, message })
}

/** Sends the deferred messages whose writes are now durable. */
export function sendDeferred (state: MachineState, context: MachineContext): void {
  let sent = 0
  for (const { afterWrite, term, to, message } of state.deferredMessages) {
    if (afterWrite > state.durableWriteId) break
    sent++
    if (term === state.term) context.send(to, message)
  }
  state.deferredMessages.splice(0, sent)
}
