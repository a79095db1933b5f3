/**
 * Sends the zone view (hosts, endpoints and their owners) to the hosts of the zone. Runs on the lease holder: sends changes
 * as they occur, and the full view to a host that has missed one.
 */
import type { EndpointId, HostId, MonotonicMs, ZoneId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { OwnedEndpoint } from '@catkinferry/wire.messages'
import type { PlatformTable, ZoneDigests } from '@catkinferry/zone.membership'
import type { Assigner } from '@catkinferry/zone.ownership'

/** Digests of other zones are forwarded to the hosts at most this often. */
const DIGEST_FORWARD_INTERVAL_MS = 2_000

export interface ViewSender {
  readonly begin: (ballot: number) => void
  readonly markEndpoint: (endpoint: EndpointId) => void
  readonly scheduleDigestForward: (now: MonotonicMs) => void
  readonly sendFull: (to: HostId, context: RunContext) => void
  readonly sendChanges: (context: RunContext) => void
  readonly getSequence: () => number
  readonly getNextAt: () => MonotonicMs | undefined
}

export interface ViewSenderOptions {
  readonly zone: ZoneId
  readonly assigner: Assigner
  readonly platform: PlatformTable
  readonly digests: ZoneDigests
}

/** Creates a sender. `counter` outlives a ballot: the sequence increases over all ballots of this host. */
export function createViewSender (opts: ViewSenderOptions & { readonly counter: { sequence: number } }): ViewSender {
  const { zone, assigner, platform, digests, counter } = opts
  const pending = new Set<EndpointId>()
  let ballot = 0
  let forwardDigestsAt: MonotonicMs | undefined

  function getOwned (endpoint: EndpointId): OwnedEndpoint | undefined {
    const row = platform.get(endpoint)
    if (row === undefined) return undefined
    return assigner.getOwned(endpoint) ?? { row, fencing: 0 }
  }

  function sendChanges (context: RunContext): void {
    const { now } = context
    const changes = assigner.takeChanges()
    for (const endpoint of changes.endpoints) pending.add(endpoint)
    const forwardDigests = forwardDigestsAt !== undefined && forwardDigestsAt <= now
    if (pending.size === 0 && !changes.hosts && !forwardDigests) return
    if (forwardDigests) forwardDigestsAt = undefined
    const endpoints = [...pending].map(getOwned).filter(owned => owned !== undefined)
    const removed = [...pending].filter(endpoint => platform.get(endpoint) === undefined)
    pending.clear()
    const after = counter.sequence++
    const hosts = assigner.listHosts(now)
    const zones = forwardDigests || changes.hosts ? digests.list() : []
    const view = { kind: 'member.view', zone, ballot, sequence: counter.sequence, after, full: false, hosts, endpoints, removed, zones } as const
    for (const host of hosts) context.send(host, view)
  }

  return {
    begin: newBallot => { ballot = newBallot },
    markEndpoint: endpoint => { pending.add(endpoint) },
    scheduleDigestForward: now => { forwardDigestsAt ??= now + DIGEST_FORWARD_INTERVAL_MS },
    sendFull: (to, context) => {
      const endpoints = platform.rows().map(row => getOwned(row.endpoint)).filter(owned => owned !== undefined)
      const hosts = assigner.listHosts(context.now)
      context.send(to, { kind: 'member.view', zone, ballot, sequence: counter.sequence, after: 0, full: true, hosts, endpoints, removed: [], zones: digests.list() })
    },
    sendChanges,
    getSequence: () => counter.sequence,
    getNextAt: () => forwardDigestsAt
  }
}
