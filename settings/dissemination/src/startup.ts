/** Start-up of a host: probes the reachable hosts for the highest revision, and marks the host ready once that revision is in force. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { PROBE_RETRY_MS, PROBE_WINDOW_MS } from './constants.ts'
import type { SharedState } from './sharedState.ts'
import { sendSettings } from './sharedState.ts'
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
function listProbeTargets (state: SharedState): HostId[] {
  return [...state.peers.values()]
    .filter(peer => peer.host !== state.self.host && (peer.voter || peer.zone === state.self.zone))
    .map(peer => peer.host)
}

/** Creates the start-up of a host, which subscribes to a host with the highest revision. */
export function createStartup (state: SharedState, upstream: Upstream): Startup {
  const answers = new Map<HostId, ProbeAnswer>()
  let probeId = 0
  let roundEndsAt: MonotonicMs = -Infinity
  let targetRevision: number | undefined

  function checkReady (): void {
    if (state.ready) return
    // A deployment of one host has no other host to probe.
    if (listProbeTargets(state).length === 0 && state.isSource()) targetRevision = 0
    if (targetRevision === undefined || state.settingsInForce.getRevision() < targetRevision) return
    state.ready = true
    state.dueTasks.clear('probe')
  }

  function endRound (context: RunContext): void {
    const ready = [...answers.values()].some(answer => answer.ready) || state.isSource()
    if (!ready) return
    targetRevision = Math.max(0, ...[...answers.values()].map(answer => answer.revision))
    checkReady()
    if (state.ready || state.isSource() || state.transfer.isActive()) return
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
      if (state.ready) return
      if (context.now >= roundEndsAt) {
        if (probeId > 0) endRound(context)
        if (state.ready) return
        beginRound(context)
      }
      for (const host of listProbeTargets(state)) {
        if (!answers.has(host)) sendSettings(state, host, { kind: 'settings.probe', probeId }, context)
      }
      state.dueTasks.set('probe', Math.min(roundEndsAt, context.now + PROBE_RETRY_MS))
    },
    receiveAnswer: (from, answer, context) => {
      if (state.ready || answer.probeId !== probeId) return
      answers.set(from, answer)
      if (answers.size < listProbeTargets(state).length || context.now >= roundEndsAt) return
      roundEndsAt = context.now + PROBE_WINDOW_MS
      endRound(context)
    }
  }
}
