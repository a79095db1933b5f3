/** Serves subscribers: pushes deltas, sends heartbeats and the parts of the full state. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { RevisionDelta } from '@catkinferry/wire.messages'
import { HEARTBEAT_MS, MAX_MESSAGE_NODES, NODE_IDS_PER_PART, SUBSCRIPTION_LEASE_MS } from './constants.ts'
import type { Core, Subscriber } from './core.ts'
import { getMajorityAge, sendSettings } from './core.ts'

/** Adds or renews a subscription and sends the missing deltas or the requested part. */
export function receiveSubscribe (core: Core, from: HostId, request: { after: number, part?: number }, context: RunContext): void {
  const leaseUntil = context.now + SUBSCRIPTION_LEASE_MS
  const subscriber = core.subscribers.get(from) ?? { sentRevision: 0, leaseUntil, lastSentAt: context.now }
  core.subscribers.set(from, subscriber)
  subscriber.leaseUntil = leaseUntil
  if (request.part !== undefined) {
    sendPart(core, from, request.part, context)
    scheduleHeartbeat(core, context)
    return
  }
  subscriber.sentRevision = request.after
  sendNextMissing(core, from, subscriber, context)
  sendAllMissing(core, from, subscriber, context)
  scheduleHeartbeat(core, context)
}

/** Sends new deltas to all subscribers that lack them. */
export function pushToSubscribers (core: Core, context: RunContext): void {
  for (const [host, subscriber] of core.subscribers) sendAllMissing(core, host, subscriber, context)
}

function sendAllMissing (core: Core, host: HostId, subscriber: Subscriber, context: RunContext): void {
  while (subscriber.sentRevision < core.settingsInForce.getRevision()) sendNextMissing(core, host, subscriber, context)
}

/** Sends heartbeats to subscribers that were sent nothing for `idleMs`, and removes those whose subscription has expired. */
export function sendHeartbeats (core: Core, idleMs: number, context: RunContext): void {
  for (const [host, subscriber] of core.subscribers) {
    if (subscriber.leaseUntil <= context.now) core.subscribers.delete(host)
    else if (subscriber.lastSentAt + idleMs <= context.now) sendDeltas(core, host, subscriber, [], context)
  }
  scheduleHeartbeat(core, context)
}

/** Schedules the next heartbeat for the subscriber that has been idle longest. */
function scheduleHeartbeat (core: Core, context: RunContext): void {
  if (core.subscribers.size === 0) return
  const idleSince = Math.min(...[...core.subscribers.values()].map(subscriber => subscriber.lastSentAt))
  core.dueTasks.set('heartbeat', Math.max(context.now, idleSince + HEARTBEAT_MS))
}

function sendNextMissing (core: Core, host: HostId, subscriber: Subscriber, context: RunContext): void {
  const isBehind = subscriber.sentRevision < core.settingsInForce.getRevision()
  const deltas = isBehind ? core.settingsInForce.listDeltasAfter(subscriber.sentRevision) : []
  if (deltas === undefined || (isBehind && deltas[0]?.revision !== subscriber.sentRevision + 1)) {
    // From here on the subscriber requests each part and then the deltas.
    subscriber.sentRevision = core.settingsInForce.getRevision()
    sendPart(core, host, 0, context)
    return
  }
  sendDeltas(core, host, subscriber, takeBatch(deltas), context)
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

function sendDeltas (core: Core, host: HostId, subscriber: Subscriber, deltas: readonly RevisionDelta[], context: RunContext): void {
  const majorityAgeMs = getMajorityAge(core)
  subscriber.sentRevision = deltas.at(-1)?.revision ?? subscriber.sentRevision
  subscriber.lastSentAt = context.now
  sendSettings(core, host, {
    kind: 'settings.deltas', deltas, highest: core.settingsInForce.getRevision(), ...(majorityAgeMs === undefined ? {} : { majorityAgeMs: Math.round(majorityAgeMs) })
  }, context)
}

function sendPart (core: Core, host: HostId, part: number, context: RunContext): void {
  const tree = core.settingsInForce.getTree()
  const parts = Math.max(1, Math.ceil(tree.getIdLimit() / NODE_IDS_PER_PART))
  const nodes = tree.listIds(part * NODE_IDS_PER_PART, NODE_IDS_PER_PART)
  sendSettings(core, host, { kind: 'settings.part', epoch: core.settingsInForce.getEpoch(), revision: tree.getRevision(), part, parts, nodes }, context)
}
