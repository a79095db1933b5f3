/** Publishes routes, announced adapter versions and quarantined prompt parts and requests to entry hosts. The leader sends changes immediately; any core host sends what is missing when an entry host says hello. */
import type { HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { FleetPeer } from '@catkinferry/fleet.membership'
import type { RunContext } from '@catkinferry/host.events'
import type { ReplicatedState } from '@catkinferry/settings.replicated-state'
import { createRouteMessages } from './routeMessages.ts'

/** Minimum time before the same state is sent to a host again, because the first message may still be in transit. */
const RESEND_DELAY_MS = 600

/** A host that lacks state, as its hellos show. */
interface LackingHost {
  readonly since: MonotonicMs
  sentAt: MonotonicMs
}

export interface StatePublisher {
  /** Sends changes since the previous call to all entry hosts. */
  readonly sendChanges: (context: RunContext, entries: readonly FleetPeer[]) => void
  /** Sends an entry host the state that is newer than what it holds. */
  readonly sendMissing: (context: RunContext, peer: Pick<FleetPeer, 'host' | 'zone' | 'held'>) => void
}

/** Creates a publisher of one core host's state. */
export function createStatePublisher (opts: { readonly state: Pick<ReplicatedState, 'getRoutes' | 'listAnnouncedAfter' | 'getAnnouncedSequence' | 'listQuarantined' | 'getQuarantineRevision'>, readonly zone: ZoneId }): StatePublisher {
  const { state, zone } = opts
  const routeMessages = createRouteMessages()
  let flushedVersion = 0
  let flushedSequence = 0
  let flushedQuarantine = 0
  const lackingHosts = new Map<HostId, LackingHost>()

  function sendAnnounced (context: RunContext, host: HostId, after: number): void {
    const versions = state.listAnnouncedAfter(after).map(({ model, adapter, version }) => [model, adapter, version] as const)
    context.send(host, { kind: 'fleet.announced', after, sequence: state.getAnnouncedSequence(), versions })
  }

  function sendQuarantine (context: RunContext, hosts: readonly HostId[]): void {
    const message = { kind: 'fleet.quarantine', revision: state.getQuarantineRevision(), parts: state.listQuarantined().map(({ part }) => part) } as const
    for (const host of hosts) context.send(host, message)
  }

  function getRouteMessages (): typeof routeMessages {
    const table = state.getRoutes()?.table
    if (table !== undefined) routeMessages.setTable(table)
    return routeMessages
  }

  /** A large table is sent by the core host of the same zone; the others send it only if the host lacks it for longer. */
  function sendRoutes (context: RunContext, { host, held, zone: hostZone }: Pick<FleetPeer, 'host' | 'zone' | 'held'>, lackingMs: number): void {
    const messages = getRouteMessages()
    const changes = messages.findChanges(held.routesVersion)
    if (changes !== undefined) context.send(host, changes)
    else if (!messages.isLarge() || hostZone === zone || lackingMs >= RESEND_DELAY_MS) context.send(host, messages.getWhole())
  }

  return {
    sendChanges: (context, entries) => {
      const version = state.getRoutes()?.table.version ?? 0
      const sequence = state.getAnnouncedSequence()
      if (version > flushedVersion) {
        const messages = getRouteMessages()
        const changes = messages.findChanges(flushedVersion)
        // A new leader does not know what its predecessor sent; hosts say what they have.
        for (const { host, held } of entries) if (changes !== undefined || held.routesVersion < version) context.send(host, changes ?? messages.findChanges(held.routesVersion) ?? messages.getWhole())
      }
      if (sequence > flushedSequence) for (const { host, held } of entries) sendAnnounced(context, host, Math.min(flushedSequence, held.announcedSequence))
      const quarantineRevision = state.getQuarantineRevision()
      if (quarantineRevision > flushedQuarantine) sendQuarantine(context, entries.filter(({ held }) => (held.quarantineRevision ?? 0) < quarantineRevision).map(({ host }) => host))
      flushedQuarantine = Math.max(flushedQuarantine, quarantineRevision)
      flushedVersion = Math.max(flushedVersion, version)
      flushedSequence = Math.max(flushedSequence, sequence)
    },
    sendMissing: (context, peer) => {
      const { host, held } = peer
      const { now } = context
      const lacksRoutes = held.routesVersion < (state.getRoutes()?.table.version ?? 0)
      const lacksVersions = held.announcedSequence < state.getAnnouncedSequence()
      const lacksQuarantine = (held.quarantineRevision ?? 0) < state.getQuarantineRevision()
      if (!lacksRoutes && !lacksVersions && !lacksQuarantine) {
        lackingHosts.delete(host)
        return
      }
      const lacking = lackingHosts.get(host) ?? { since: now, sentAt: Number.NEGATIVE_INFINITY }
      lackingHosts.set(host, lacking)
      if (now - lacking.sentAt < RESEND_DELAY_MS) return
      lacking.sentAt = now
      if (lacksRoutes) sendRoutes(context, peer, now - lacking.since)
      if (lacksQuarantine) sendQuarantine(context, [host])
      if (lacksVersions) sendAnnounced(context, host, held.announcedSequence)
    }
  }
}
