/** Serves subscribers: pushes deltas, sends heartbeats, gives the full state in parts. */
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { RevisionDelta } from '@catkinferry/wire.messages'
import { HEARTBEAT_MS, MAX_MESSAGE_NODES, PART_IDS, SUBSCRIPTION_LEASE_MS } from './constants.ts'
import type { Core, Subscriber } from './core.ts'
import { getMajorityAge, sendSettings } from './core.ts'

/** Takes or renews a subscription and sends what the subscriber lacks. */
export function receiveAsk (core: Core, from: HostId, ask: { after: number, part?: number }, context: RunContext): void {
  const leaseUntil = context.now + SUBSCRIPTION_LEASE_MS
  const subscriber = core.subscribers.get(from) ?? { sent: 0, leaseUntil, lastSentAt: context.now }
  core.subscribers.set(from, subscriber)
  subscriber.leaseUntil = leaseUntil
  if (ask.part !== undefined) {
    sendPart(core, from, ask.part, context)
    setHeartbeat(core, context)
    return
  }
  subscriber.sent = ask.after
  sendMissing(core, from, subscriber, context)
  sendRest(core, from, subscriber, context)
  setHeartbeat(core, context)
}

/** Sends new deltas to all subscribers that lack them. */
export function pushToSubscribers (core: Core, context: RunContext): void {
  for (const [host, subscriber] of core.subscribers) sendRest(core, host, subscriber, context)
}

function sendRest (core: Core, host: HostId, subscriber: Subscriber, context: RunContext): void {
  while (subscriber.sent < core.inForce.getRevision()) sendMissing(core, host, subscriber, context)
}

/** Sends heartbeats to those who were sent nothing for `quietMs`, and drops those whose subscription ended. */
export function sendHeartbeats (core: Core, quietMs: number, context: RunContext): void {
  for (const [host, subscriber] of core.subscribers) {
    if (subscriber.leaseUntil <= context.now) core.subscribers.delete(host)
    else if (subscriber.lastSentAt + quietMs <= context.now) sendDeltas(core, host, subscriber, [], context)
  }
  setHeartbeat(core, context)
}

/** Sets the heartbeat to when the first subscriber has been sent nothing for the interval. */
function setHeartbeat (core: Core, context: RunContext): void {
  if (core.subscribers.size === 0) return
  const quietSince = Math.min(...[...core.subscribers.values()].map(subscriber => subscriber.lastSentAt))
  core.due.set('heartbeat', Math.max(context.now, quietSince + HEARTBEAT_MS))
}

function sendMissing (core: Core, host: HostId, subscriber: Subscriber, context: RunContext): void {
  const isBehind = subscriber.sent < core.inForce.getRevision()
  const deltas = isBehind ? core.inForce.listDeltasAfter(subscriber.sent) : []
  if (deltas === undefined || (isBehind && deltas[0]?.revision !== subscriber.sent + 1)) {
    // From here on the subscriber asks for each part and then for the deltas.
    subscriber.sent = core.inForce.getRevision()
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
  subscriber.sent = deltas.at(-1)?.revision ?? subscriber.sent
  subscriber.lastSentAt = context.now
  sendSettings(core, host, {
    kind: 'settings.deltas', deltas, highest: core.inForce.getRevision(), ...(majorityAgeMs === undefined ? {} : { majorityAgeMs: Math.round(majorityAgeMs) })
  }, context)
}

function sendPart (core: Core, host: HostId, part: number, context: RunContext): void {
  const tree = core.inForce.getTree()
  const parts = Math.max(1, Math.ceil(tree.getIdLimit() / PART_IDS))
  const nodes = tree.listIds(part * PART_IDS, PART_IDS)
  sendSettings(core, host, { kind: 'settings.part', epoch: core.inForce.getEpoch(), revision: tree.getRevision(), part, parts, nodes }, context)
}
