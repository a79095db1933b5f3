/** Publishes routes and announced adapter versions to entry hosts. The leader sends changes immediately; any core host sends what is missing when an entry host says hello. */
import type { HostId, MonotonicMs } from '@catkinferry/core.types'
import type { FleetPeer } from '@catkinferry/fleet.membership'
import type { RunContext } from '@catkinferry/host.events'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import type { HeldState } from '@catkinferry/wire.messages'

/** Minimum time before the same state is sent to a host again, because the first message may still be in transit. */
const RESEND_DELAY_MS = 600

export interface StatePublisher {
  /** Sends changes since the previous call to all entry hosts. */
  readonly sendChanges: (context: RunContext, entries: readonly FleetPeer[]) => void
  /** Sends an entry host the state that is newer than `held`. */
  readonly sendMissing: (context: RunContext, host: HostId, held: HeldState) => void
}

/** Creates a publisher of one core host's state. */
export function createStatePublisher (state: Pick<ReplicatedState, 'getRoutes' | 'listAnnouncedAfter' | 'getAnnouncedSequence'>): StatePublisher {
  let flushedVersion = 0
  let flushedSequence = 0
  const sentAt = new Map<HostId, MonotonicMs>()

  function sendRoutes (context: RunContext, host: HostId): void {
    const routes = state.getRoutes()
    if (routes !== undefined) context.send(host, { kind: 'fleet.routes', table: routes.table })
  }

  function sendAnnounced (context: RunContext, host: HostId, after: number): void {
    const versions = state.listAnnouncedAfter(after).map(({ model, adapter, version }) => [model, adapter, version] as const)
    context.send(host, { kind: 'fleet.announced', after, sequence: state.getAnnouncedSequence(), versions })
  }

  return {
    sendChanges: (context, entries) => {
      const version = state.getRoutes()?.table.version ?? 0
      const sequence = state.getAnnouncedSequence()
      if (version > flushedVersion) for (const { host } of entries) sendRoutes(context, host)
      if (sequence > flushedSequence) for (const { host, held } of entries) sendAnnounced(context, host, Math.min(flushedSequence, held.announcedSequence))
      flushedVersion = Math.max(flushedVersion, version)
      flushedSequence = Math.max(flushedSequence, sequence)
    },
    sendMissing: (context, host, held) => {
      const lacksRoutes = held.routesVersion < (state.getRoutes()?.table.version ?? 0)
      const lacksVersions = held.announcedSequence < state.getAnnouncedSequence()
      if (!lacksRoutes && !lacksVersions) {
        sentAt.delete(host)
        return
      }
      if (context.now - (sentAt.get(host) ?? Number.NEGATIVE_INFINITY) < RESEND_DELAY_MS) return
      sentAt.set(host, context.now)
      if (lacksRoutes) sendRoutes(context, host)
      if (lacksVersions) sendAnnounced(context, host, held.announcedSequence)
    }
  }
}
