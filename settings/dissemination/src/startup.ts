/** A starting host finds the highest revision among the hosts that it can reach, and is ready once it has it. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { PROBE_AGAIN_MS, PROBE_WINDOW_MS } from './constants.ts'
import type { Core } from './core.ts'
import { sendSettings } from './core.ts'
import type { Upstream } from './upstream.ts'

interface ProbeAnswer {
  readonly revision: number
  readonly ready: boolean
}

export interface Startup {
  /** Sends probes to those who have not answered, or ends the round. */
  readonly probe: (context: RunContext) => void
  readonly receiveAnswer: (from: HostId, answer: ProbeAnswer & { probeId: number }, context: RunContext) => void
  /** Marks the host ready once it has the revision that it found. */
  readonly checkReady: () => void
}

/** Hosts that a starting host asks: those of its zone and all voters. */
function listProbed (core: Core): HostId[] {
  return [...core.peers.values()]
    .filter(peer => peer.host !== core.self.host && (peer.voter || peer.zone === core.self.zone))
    .map(peer => peer.host)
}

/** Creates the start-up of a host, which subscribes to a host with the highest revision. */
export function createStartup (core: Core, upstream: Upstream): Startup {
  const answers = new Map<HostId, ProbeAnswer>()
  let probeId = 0
  let endsAt: MonotonicMs = -Infinity
  let target: number | undefined

  function checkReady (): void {
    if (core.ready) return
    // A deployment of one host has nobody to ask.
    if (listProbed(core).length === 0 && core.isSource()) target = 0
    if (target === undefined || core.inForce.getRevision() < target) return
    core.ready = true
    core.due.clear('probe')
  }

  function endRound (context: RunContext): void {
    const ready = [...answers.values()].some(answer => answer.ready) || core.isSource()
    if (!ready) return
    target = Math.max(0, ...[...answers.values()].map(answer => answer.revision))
    checkReady()
    if (core.ready || core.isSource() || core.transfer.isActive()) return
    const best = [...answers].filter(([, answer]) => answer.revision === target).map(([host]) => host)
    const current = upstream.getHost()
    if (best[0] !== undefined && (current === undefined || !best.includes(current))) upstream.setHost(best[0], context)
  }

  function beginRound (context: RunContext): void {
    answers.clear()
    probeId++
    endsAt = context.now + PROBE_WINDOW_MS
  }

  return {
    checkReady,
    probe: context => {
      if (core.ready) return
      if (context.now >= endsAt) {
        if (probeId > 0) endRound(context)
        if (core.ready) return
        beginRound(context)
      }
      for (const host of listProbed(core)) {
        if (!answers.has(host)) sendSettings(core, host, { kind: 'settings.probe', probeId }, context)
      }
      core.due.set('probe', Math.min(endsAt, context.now + PROBE_AGAIN_MS))
    },
    receiveAnswer: (from, answer, context) => {
      if (core.ready || answer.probeId !== probeId) return
      answers.set(from, answer)
      if (answers.size < listProbed(core).length || context.now >= endsAt) return
      endsAt = context.now + PROBE_WINDOW_MS
      endRound(context)
    }
  }
}
