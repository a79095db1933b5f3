/** Collects the messages and outputs of the systems during one run. Messages to the host itself are queued for loopback within the run. */
import type { HostId, MonotonicMs, WallMs } from '@catkinferry/core.types'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import type { PeerMessage } from '@catkinferry/wire.messages'

export interface Outbox {
  readonly context: RunContext
  readonly outputs: HostOutput[]
  readonly takeLoopback: () => PeerMessage | undefined
}

/** Creates an empty outbox for one run. */
export function createOutbox (opts: { self: HostId, now: MonotonicMs, wallNow: WallMs }): Outbox {
  const outputs: HostOutput[] = []
  const loopback: PeerMessage[] = []
  let taken = 0

  function send (to: HostId, message: PeerMessage): void {
    if (to === opts.self) loopback.push(message)
    else outputs.push({ kind: 'peer.send', to, message })
  }

  return {
    outputs,
    context: { now: opts.now, wallNow: opts.wallNow, send, emit: output => { outputs.push(output) } },
    takeLoopback: () => taken < loopback.length ? loopback[taken++] : undefined
  }
}
