/**
 * Records how the leader brings peers up to date that lack entries: with what, how much and how long. Begun when a peer
 * reports that its log ends earlier or answers nothing, finished once it holds what the leader had then.
 */
import type { HostId } from '@catkinferry/core.types'
import type { MachineContext, MachineState, Progress } from './state.ts'

export function beginCatchUp (state: MachineState, host: HostId, progress: Progress, context: MachineContext): void {
  if (progress.catchUp !== undefined) return
  const toIndex = state.log.getLastIndex()
  const missingBytes = state.log.getBytes(progress.nextIndex, toIndex)
  progress.catchUp = { host, startedAt: context.now, toIndex, missingBytes, entryBytes: 0, snapshotBytes: 0 }
}

export function finishCatchUp (state: MachineState, progress: Progress, context: MachineContext): void {
  const { catchUp } = progress
  if (catchUp === undefined || progress.matchIndex < catchUp.toIndex) return
  progress.catchUp = undefined
  state.finishedCatchUps.push({ ...catchUp, durationMs: context.now - catchUp.startedAt })
}
