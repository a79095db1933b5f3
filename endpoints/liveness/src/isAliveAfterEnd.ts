/**
 * A kernel closes all connections of a process that ends, in order and within an instant. Called for a response that was
 * delimited by the end of its connection, which may be that of the process too.
 */
import { startTimeLimit } from '@catkinferry/core.clock'
import type { DurationMs } from '@catkinferry/core.types'
import { probeConnection } from './probeConnection.ts'
import type { ProbeOptions } from './probeConnection.ts'

/** Time in which the ends of all connections of a process arrive. Callers wait as long for the end of the response. */
const ENDS_ARRIVE_MS: DurationMs = 20

export interface LivenessOptions extends ProbeOptions {
  /** Whether another connection to the endpoint is open whose end this host would have read by now. Costs nothing, unlike a new connection. */
  readonly hasOpenConnection?: () => boolean
}

/** Whether the endpoint lives on. False if that cannot be told within the time limit. */
export async function isAliveAfterEnd ({ hasOpenConnection = () => false, ...probe }: LivenessOptions): Promise<boolean> {
  await new Promise<void>(resolve => { startTimeLimit(ENDS_ARRIVE_MS, resolve) })
  return hasOpenConnection() || await probeConnection(probe)
}
