/** Serves subscribers: pushes deltas, sends heartbeats and the parts of the full state. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { RevisionDelta } from '@catkinferry/wire.messages'
import { HEARTBEAT_MS, MAX_MESSAGE_NODES, NODE_IDS_PER_PART, SUBSCRIPTION_LEASE_MS } from './constants.ts'
import type { SharedState, Subscriber } from './sharedState.ts'
import { getMajorityAge, sendSettings } from './sharedState.ts'

/** Adds or renews a subscription and sends the missing deltas or the requested part. */
export function receiveSubscribe (state: SharedState, from: HostId, request: { after: number, part?: number }, context: RunContext): void {
  const leaseUntil = context.now + SUBSCRIPTION_LEASE_MS
  const subscriber = state.subscribers.get(from) ?? { sentRevision: 0, leaseUntil, lastSentAt: context.now }
  state.subscribers.set(from, subscriber)
  subscriber.leaseUntil = leaseUntil
  if (request.part !== undefined) {
    sendPart(state, from, request.part, context)
    scheduleHeartbeat(state, context)
    return
  }
  subscriber.sentRevision = request.after
  sendNextMissing(state, from, subscriber, context)
  sendAllMissing(state, from, subscriber, context)
  scheduleHeartbeat(state, context)
}

/** Sends new deltas to all subscribers that lack them. */
export function pushToSubscribers (state: SharedState, context: RunContext): void {
  for (const [host, subscriber] of state.subscribers) sendAllMissing(state, host, subscriber, context)
}

function sendAllMissing (state: SharedState, host: HostId, subscriber: Subscriber, context: RunContext): void {
  while (subscriber.sentRevision < state.settingsInForce.getRevision()) sendNextMissing(state, host, subscriber, context)
}

/** Sends heartbeats to subscribers that were sent nothing for `idleMs`, and removes those whose subscription has expired. */
export function sendHeartbeats (state: SharedState, idleMs: number, context: RunContext): void {
  for (const [host, subscriber] of state.subscribers) {
    if (subscriber.leaseUntil <= context.now) state.subscribers.delete(host)
    else if (subscriber.lastSentAt + idleMs <= context.now) sendDeltas(state, host, subscriber, [], context)
  }
  scheduleHeartbeat(state, context)
}

/** Schedules the next heartbeat for the subscriber that has been idle longest. */
function scheduleHeartbeat (state: SharedState, context: RunContext): void {
  if (state.subscribers.size === 0) return
  const idleSince = Math.min(...[...state.subscribers.values()].map(subscriber => subscriber.lastSentAt))
  state.dueTasks.set('heartbeat', Math.max(context.now, idleSince + HEARTBEAT_MS))
}

function sendNextMissing (state: SharedState, host: HostId, subscriber: Subscriber, context: RunContext): void {
  const isBehind = subscriber.sentRevision < state.settingsInForce.getRevision()
  const deltas = isBehind ? state.settingsInForce.listDeltasAfter(subscriber.sentRevision) : []
  if (deltas === undefined || (isBehind && deltas[0]?.revision !== subscriber.sentRevision + 1)) {
    // From here on the subscriber requests each part and then the deltas.
    subscriber.sentRevision = state.settingsInForce.getRevision()
    sendPart(state, host, 0, context)
    return
  }
  sendDeltas(state, host, subscriber, takeBatch(deltas), context)
}

function takeBatch (deltas: readonly RevisionDelta[]): RevisionDelta[] {
  const batch: RevisionDelta[] = []
  let nodes = 0
  for (const delta of deltas) {
    nodes += delta.nodes.length
    if (batch.length > 0 && nodes > MAX_MESSAGE_NODES) break
    batch.push(delta)
  }
  return batch
}

function sendDeltas (state: SharedState, host: HostId, subscriber: Subscriber, deltas: readonly RevisionDelta[], context: RunContext): void {
  const majorityAgeMs = getMajorityAge(state)
  subscriber.sentRevision = deltas.at(-1)?.revision ?? subscriber.sentRevision
  subscriber.lastSentAt = context.now
  sendSettings(state, host, {
    kind: 'settings.deltas', deltas, highest: state.settingsInForce.getRevision(), ...(majorityAgeMs === undefined ? {} : { majorityAgeMs: Math.round(majorityAgeMs) })
  }, context)
}

function sendPart (state: SharedState, host: HostId, part: number, context: RunContext): void {
  const tree = state.settingsInForce.getTree()
  const parts = Math.max(1, Math.ceil(tree.getIdLimit() / NODE_IDS_PER_PART))
  const nodes = tree.listNodesByIdRange(part * NODE_IDS_PER_PART, NODE_IDS_PER_PART)
  sendSettings(state, host, { kind: 'settings.part', epoch: state.settingsInForce.getEpoch(), revision: tree.getRevision(), part, parts, nodes }, context)
}
