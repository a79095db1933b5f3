/** Reports on the log of a voter: its size in memory, and how the leader brings members up to date that lack entries. */
import type { LogMachine } from '@catkinferry/consensus.log-machine'
import type { RunContext } from '@catkinferry/host.events'

/** Members that lacked less than this at first get no log line. */
const MIN_LOGGED_BYTES = 64 * 1024

/** Called after each snapshot. */
export function reportLogSize (machine: LogMachine, snapshotBytes: number, { emit }: RunContext): void {
  const { log } = machine.getState()
  emit({ kind: 'metric', type: 'gauge', name: 'voter.log_bytes', value: log.getBytes(log.getFirstIndex(), log.getLastIndex()) })
  emit({ kind: 'metric', type: 'gauge', name: 'voter.snapshot_bytes', value: snapshotBytes })
}

export function reportCatchUps (machine: LogMachine, { emit }: RunContext): void {
  for (const { host, missingBytes, entryBytes, snapshotBytes, durationMs } of machine.takeFinishedCatchUps()) {
    const by = snapshotBytes > 0 ? 'snapshot' : 'log'
    emit({ kind: 'metric', type: 'timing', name: 'voter.catch_up_ms', value: durationMs, tags: { by } })
    if (missingBytes < MIN_LOGGED_BYTES) continue
    emit({ kind: 'log', level: 'info', message: 'brought a member up to date', fields: { step: 'catchUp', peer: host, by, missingBytes, entryBytes, snapshotBytes, durationMs: Math.round(durationMs) } })
  }
}
