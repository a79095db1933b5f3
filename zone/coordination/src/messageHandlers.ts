/** Handlers of the zone messages that a host receives from its peers, by message kind. */
import type { EndpointRow, HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { GrantMessage, MembershipMessage, OwnershipMessage } from '@catkinferry/wire.messages'
import type { GrantRequest } from '@catkinferry/zone.grants'
import type { ZoneMessage } from './createZoneCoordination.ts'
import { HOLDER_TIMEOUT_MS } from './zoneParts.ts'
import type { ZoneParts } from './zoneParts.ts'

type MessageOf<Kind extends ZoneMessage['kind']> = Extract<ZoneMessage, { kind: Kind }>
type Handlers = { readonly [Kind in ZoneMessage['kind']]: (from: HostId, message: MessageOf<Kind>, context: RunContext) => void }
type GrantCancel = Extract<GrantMessage, { kind: 'grant.cancel' }>
type OwnerAssign = Extract<OwnershipMessage, { kind: 'owner.assign' }>
type MemberView = Extract<MembershipMessage, { kind: 'member.view' }>

/** Minimum time between two requests for the full view. */
const VIEW_REQUEST_INTERVAL_MS = 200
/** Retry time sent to another zone while no endpoint of this zone is usable. */
const RETRY_NO_CAPACITY_MS = 500

export interface MessageHandlers {
  readonly receive: (from: HostId, message: ZoneMessage, context: RunContext) => void
  readonly receivePlatformList: (rows: readonly EndpointRow[], context: RunContext) => void
}

function requestView (parts: ZoneParts, context: RunContext): void {
  const { known, self } = parts
  if (known.holder === undefined || context.now - known.viewRequestedAt < VIEW_REQUEST_INTERVAL_MS) return
  known.viewRequestedAt = context.now
  context.send(known.holder, { kind: 'member.askView', zone: self.zone })
}

function recordHolder (parts: ZoneParts, from: HostId, context: RunContext): void {
  parts.known.holder = from
  parts.known.heardAt = context.now
}

function receiveAssign (parts: ZoneParts, from: HostId, assign: OwnerAssign, context: RunContext): void {
  const { subLease, grants, publisher, table } = parts
  const change = subLease.receiveAssign(from, assign, context)
  if (change === undefined) return
  recordHolder(parts, from, context)
  for (const endpoint of change.lost) {
    grants.dropOwned(endpoint, context)
    publisher.remove(endpoint)
  }
  for (const owned of [...change.gained, ...change.updated]) grants.putOwned(owned, context)
  if (change.gained.length > 0) subLease.renewSoon(context.now)
  for (const { endpoint, fencing } of change.recalledUnknown) {
    const settled = parts.handedBack.get(endpoint)?.settled ?? false
    context.send(from, { kind: 'owner.handBack', zone: parts.self.zone, ballot: assign.ballot, endpoint, fencing, settled, highestFencing: 0 })
  }
  if (assign.ballot !== table.getBallot() || change.viewSequence > table.getSequence()) requestView(parts, context)
}

/** Stops grants at a leaving endpoint as soon as a view says so, without waiting for the next assignment. */
function applyLeaving (parts: ZoneParts, view: MemberView, context: RunContext): void {
  for (const { row } of view.endpoints) {
    const owned = parts.subLease.getOwned(row.endpoint)
    if (owned === undefined || owned.row.leaving === row.leaving || !parts.grants.hasEndpoint(row.endpoint)) continue
    parts.grants.putOwned(parts.subLease.setRow(row) ?? owned, context)
  }
}

function receiveView (parts: ZoneParts, view: MemberView, context: RunContext): void {
  if (view.zone !== parts.self.zone) return
  if (!parts.table.applyView(view)) {
    requestView(parts, context)
    return
  }
  for (const digest of view.zones) if (digest.zone !== parts.self.zone) parts.digests.applyDigest(digest, context.now)
  applyLeaving(parts, view, context)
  const assigned = view.endpoints.some(({ row, owner }) => owner === parts.self.host && parts.subLease.getOwned(row.endpoint) === undefined)
  if (assigned) parts.subLease.renewSoon(context.now)
}

/** Forwards a grant request of another zone to the owner of the endpoint that this host chooses for it. */
function forwardRequest (parts: ZoneParts, request: GrantRequest, context: RunContext): void {
  const { crossZone, table } = parts
  const known = crossZone.get(request.attemptId)
  const view = known === undefined ? crossZone.choose({ views: table.listViews(request.pool ?? ''), adapterKey: request.adapterKey }) : undefined
  const target = known ?? (view?.owner === undefined ? undefined : { endpoint: view.endpoint, owner: view.owner })
  if (target === undefined) {
    context.send(request.origin, { kind: 'grant.refused', attemptId: request.attemptId, reason: 'full', retryAfterMs: RETRY_NO_CAPACITY_MS })
    return
  }
  crossZone.record(request.attemptId, target, context.now)
  context.send(target.owner, { ...request, endpoint: target.endpoint })
}

function receiveCancel (parts: ZoneParts, cancel: GrantCancel, context: RunContext): void {
  const target = cancel.endpoint === undefined ? parts.crossZone.take(cancel.attemptId) : undefined
  if (target !== undefined) context.send(target.owner, { ...cancel, endpoint: target.endpoint })
  else parts.grants.receiveCancel(cancel, context)
}

function receivePlatformList (parts: ZoneParts, rows: readonly EndpointRow[], context: RunContext): void {
  const { platform, holderDuties, known } = parts
  const change = platform.receiveList(rows)
  if (known.held === undefined) return
  for (const row of change.put) holderDuties.putEndpoint(row, context)
  for (const endpoint of change.removed) holderDuties.removeEndpoint(endpoint)
}

/** Creates the handlers of one host. */
export function createMessageHandlers (parts: ZoneParts): MessageHandlers {
  const { self, known, leaseHolder, holderDuties, grants, digests } = parts
  const isHolder = (): boolean => known.held !== undefined

  const handlers: Handlers = {
    'lease.ask': (from, request, context) => parts.getVoter(context.now).receiveRequest(from, request, context),
    'lease.answer': (from, answer, context) => {
      if (answer.zone !== self.zone) return
      leaseHolder.receiveAnswer(from, answer, context)
      if (answer.holder !== undefined && answer.holder !== self.host && !isHolder()) known.holder = answer.holder
    },
    'lease.release': (from, release, context) => {
      parts.getVoter(context.now).receiveRelease(from, release, context)
      if (release.zone !== self.zone || release.unused || known.holder !== from || from === self.host) return
      known.holder = undefined
      known.heardAt = context.now - HOLDER_TIMEOUT_MS
      leaseHolder.scheduleRequest(context.now)
    },
    'lease.held': (from, held, context) => {
      if (held.zone === self.zone && held.ballot > parts.subLease.getBallot() && !isHolder()) recordHolder(parts, from, context)
    },
    'owner.assign': (from, assign, context) => receiveAssign(parts, from, assign, context),
    'owner.renew': (from, renew, context) => {
      if (isHolder() && renew.zone === self.zone) holderDuties.assigner.receiveRenew(from, renew, context)
    },
    'owner.handBack': (from, handBack, context) => {
      holderDuties.assigner.recordFencing(handBack.highestFencing)
      if (isHolder()) holderDuties.assigner.receiveHandBack(from, handBack, context)
    },
    'member.view': (_from, view, context) => receiveView(parts, view, context),
    'member.askView': (from, _request, context) => {
      if (isHolder()) holderDuties.views.sendFull(from, context)
    },
    'member.endpoints': (from, message, context) => {
      if (!parts.table.applyStates(from, message, context.now)) context.send(from, { kind: 'member.askEndpoints' })
    },
    'member.askEndpoints': (from, _request, context) => parts.publisher.sendAll(from, context),
    'member.digest': (from, message, context) => {
      const isNewer = digests.applyDigest(message.digest, context.now)
      if (!isNewer) return
      if (isHolder()) holderDuties.views.scheduleDigestForward(context.now)
      else if (known.holder !== undefined && known.holder !== from) context.send(known.holder, message)
    },
    'budget.ask': (from, request, context) => holderDuties.budget.receiveLoanRequest(from, request, context),
    'budget.lend': (_from, lend, context) => holderDuties.budget.receiveLend(lend, context),
    'budget.take': (from, take, context) => {
      if (isHolder()) holderDuties.budget.receiveTake(from, take, context)
    },
    'budget.given': (_from, given, context) => grants.receiveBudgetGiven(given, context),
    'budget.done': (from, done, context) => holderDuties.budget.receiveDone(from, done, context),
    'grant.ask': (from, message, context) => {
      const request = { ...message, origin: message.origin ?? from }
      if (request.endpoint === undefined) forwardRequest(parts, request, context)
      else grants.receiveRequest(request, request.endpoint, context)
    },
    'grant.release': (_from, release, context) => grants.receiveRelease(release, context),
    'grant.cancel': (_from, cancel, context) => receiveCancel(parts, cancel, context),
    'grant.active': (from, active, context) => grants.receiveActive(from, active, context)
  }

  return {
    receive: (from, message, context) => {
      const handle = handlers[message.kind] as (from: HostId, message: ZoneMessage, context: RunContext) => void
      handle(from, message, context)
    },
    receivePlatformList: (rows, context) => receivePlatformList(parts, rows, context)
  }
}
