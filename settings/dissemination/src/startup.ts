/** Start-up of a host: probes the reachable hosts for the highest revision, and marks the host ready once that revision is in force. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { PROBE_RETRY_MS, PROBE_WINDOW_MS } from './constants.ts'
import type { Core } from './core.ts'
import { sendSettings } from './core.ts'
import type { Upstream } from './upstream.ts'

interface ProbeAnswer {
  readonly revision: number
  readonly ready: boolean
}

export interface Startup {
  /** Probes the hosts that have not answered yet; at the end of a round, evaluates the answers. */
  readonly probe: (context: RunContext) => void
  readonly receiveAnswer: (from: HostId, answer: ProbeAnswer & { probeId: number }, context: RunContext) => void
  /** Marks the host ready once the highest revision found is in force. */
  readonly checkReady: () => void
}

/** Hosts that a starting host probes: those of its zone and all voters. */
function listProbeTargets (core: Core): HostId[] {
  return [...core.peers.values()]
    .filter(peer => peer.host !== core.self.host && (peer.voter || peer.zone === core.self.zone))
    .map(peer => peer.host)
}

/** Creates the start-up of a host, which subscribes to a host with the highest revision. */
export function createStartup (core: Core, upstream: Upstream): Startup {
  const answers = new Map<HostId, ProbeAnswer>()
  let probeId = 0
  let roundEndsAt: MonotonicMs = -Infinity
  let targetRevision: number | undefined

  function checkReady (): void {
    if (core.ready) return
    // A deployment of one host has no other host to probe.
    if (listProbeTargets(core).length === 0 && core.isSource()) targetRevision = 0
    if (targetRevision === undefined || core.settingsInForce.getRevision() < targetRevision) return
    core.ready = true
    core.dueTasks.clear('probe')
  }

  function endRound (context: RunContext): void {
    const ready = [...answers.values()].some(answer => answer.ready) || core.isSource()
    if (!ready) return
    targetRevision = Math.max(0, ...[...answers.values()].map(answer => answer.revision))
    checkReady()
    if (core.ready || core.isSource() || core.transfer.isActive()) return
    const candidates = [...answers].filter(([, answer]) => answer.revision === targetRevision).map(([host]) => host)
    const current = upstream.getHost()
    if (candidates[0] !== undefined && (current === undefined || !candidates.includes(current))) upstream.setHost(candidates[0], context)
  }

  function beginRound (context: RunContext): void {
    answers.clear()
    probeId++
    roundEndsAt = context.now + PROBE_WINDOW_MS
  }

  return {
    checkReady,
    probe: context => {
      if (core.ready) return
      if (context.now >= roundEndsAt) {
        if (probeId > 0) endRound(context)
        if (core.ready) return
        beginRound(context)
      }
      for (const host of listProbeTargets(core)) {
        if (!answers.has(host)) sendSettings(core, host, { kind: 'settings.probe', probeId }, context)
      }
      core.dueTasks.set('probe', Math.min(roundEndsAt, context.now + PROBE_RETRY_MS))
    },
    receiveAnswer: (from, answer, context) => {
      if (core.ready || answer.probeId !== probeId) return
      answers.set(from, answer)
      if (answers.size < listProbeTargets(core).length || context.now >= roundEndsAt) return
      roundEndsAt = context.now + PROBE_WINDOW_MS
      endRound(context)
    }
  }
}
