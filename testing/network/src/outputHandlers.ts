/** Handlers for the outputs of host cores in the simulation, in place of the shell that surrounds a core in production. */
import type { HostEvent, HostOutput } from '@catkinferry/host.events'
import type { OrderOutcome } from '@catkinferry/core.types'
import { startAttempt } from './attempts.ts'
import { addLogLine } from './cluster.ts'
import type { ClusterState } from './cluster.ts'
import { buildPeers } from './topology.ts'
import { decodeMessage, encodeMessage } from './messageCopy.ts'

/** The host run that an output came from. */
export interface Origin {
  readonly cluster: ClusterState
  readonly host: string
  readonly incarnation: number
}

type Handler<Kind extends HostOutput['kind']> = (origin: Origin, output: Extract<HostOutput, { kind: Kind }>) => void

const PLATFORM_PARTICIPANT = 'platform'
/** Time after which a connection attempt fails if the endpoint cannot be reached. Also the interval at which running attempts are checked for progress. */
export const CONNECT_TIMEOUT_MS = 1_000

/** Delivers an event to the host that an output came from, unless the host has restarted since. */
export function deliverEvent (origin: Origin, event: HostEvent): void {
  origin.cluster.hosts.get(origin.host)?.receive(event, origin.incarnation)
}

/** Calls `onArrival` when the request reaches the participant, or `onTimeout` after the connect timeout if it cannot. */
export function sendRequest (origin: Origin, participant: string, onArrival: () => void, onTimeout: () => void): void {
  const { faults, scheduler } = origin.cluster
  const [delay] = faults.pickDelays(origin.host, participant)
  if (delay === undefined || faults.isCut(participant, origin.host)) {
    scheduler.add(CONNECT_TIMEOUT_MS, onTimeout)
    return
  }
  scheduler.add(delay, onArrival)
}

function sendToPeer (origin: Origin, to: string, message: Extract<HostOutput, { kind: 'peer.send' }>['message']): void {
  const { cluster, host } = origin
  const bytes = encodeMessage(message)
  for (const delay of cluster.faults.pickDelays(host, to)) {
    cluster.scheduler.add(delay, () => {
      if (cluster.faults.isCut(host, to)) return
      cluster.hosts.get(to)?.receive({ kind: 'peer.message', from: host, message: decodeMessage(bytes) })
    })
  }
}

function sendOrder (origin: Origin, output: Extract<HostOutput, { kind: 'order.send' }>): void {
  const { cluster, host } = origin
  const { orderId, endpoint, order, fencing } = output
  const answer = (outcome: OrderOutcome): void => { deliverEvent(origin, { kind: 'order.result', orderId, endpoint, outcome }) }
  const simHost = cluster.hosts.get(host)
  if (simHost === undefined || simHost.getLocalNow() > output.sendBeforeMs) {
    answer({ kind: 'notSent' })
    return
  }
  const connection = { host, incarnation: origin.incarnation, endpoint, lastArrivalAt: 0, lastAnswerAt: 0, closed: false }
  cluster.connections.set(orderId, connection)
  let settled = false
  const settle = (outcome: OrderOutcome): void => {
    if (settled) return
    settled = true
    cluster.connections.delete(orderId)
    answer(outcome)
  }
  const cutInMs = Math.max(0, output.cutAtMs - simHost.getLocalNow())
  cluster.scheduler.add(cutInMs, () => {
    connection.closed = true
    settle({ kind: 'unknown' })
  })
  sendRequest(origin, endpoint, () => {
    if (connection.closed) return
    cluster.engines.get(endpoint)?.order(order, fencing, outcome => {
      const [delay] = cluster.faults.pickDelays(endpoint, host)
      if (delay !== undefined) cluster.scheduler.add(delay, () => settle(outcome))
    })
  }, () => settle({ kind: 'unknown' }))
}

function cutOrder (origin: Origin, orderId: string): void {
  const connection = origin.cluster.connections.get(orderId)
  if (connection !== undefined) connection.closed = true
}

function pollEndpoint (origin: Origin, endpoint: string): void {
  const { cluster, host } = origin
  sendRequest(origin, endpoint, () => {
    const report = cluster.engines.get(endpoint)?.report()
    const [delay] = cluster.faults.pickDelays(endpoint, host)
    if (report === undefined || delay === undefined) return
    cluster.scheduler.add(delay, () => deliverEvent(origin, { kind: 'endpoint.report', endpoint, report }))
  }, () => deliverEvent(origin, { kind: 'endpoint.unreachable', endpoint }))
}

function pollPlatform (origin: Origin): void {
  const { cluster } = origin
  sendRequest(origin, PLATFORM_PARTICIPANT, () => {
    const hosts = buildPeers(cluster.shape)
      .filter(({ host }) => !cluster.delistedHosts.has(host))
      .map(({ host, zone }) => ({ host, zone, leaving: false }))
    deliverEvent(origin, { kind: 'platform.list', endpoints: [...cluster.listed.values()], hosts })
  }, () => deliverEvent(origin, { kind: 'platform.unreachable' }))
}

const handlers: { readonly [Kind in HostOutput['kind']]: Handler<Kind> } = {
  'peer.send': (origin, output) => { sendToPeer(origin, output.to, output.message) },
  'attempt.start': startAttempt,
  'attempt.cancel': ({ cluster, host }, { attemptId }) => {
    const connection = cluster.connections.get(attemptId)
    if (connection === undefined) return
    connection.closed = true
    cluster.connections.delete(attemptId)
    const [delay] = cluster.faults.pickDelays(host, connection.endpoint)
    if (delay === undefined) return
    cluster.scheduler.add(delay, () => {
      cluster.engines.get(connection.endpoint)?.cancel(attemptId)
      cluster.services.get(connection.endpoint)?.cancel(attemptId)
    })
  },
  'order.send': sendOrder,
  'order.cut': (origin, { orderId }) => { cutOrder(origin, orderId) },
  'endpoint.poll': (origin, { endpoint }) => { pollEndpoint(origin, endpoint) },
  'platform.poll': pollPlatform,
  'disk.request': (origin, { request }) => {
    origin.cluster.disks.get(origin.host)?.execute(request, answer => deliverEvent(origin, { kind: 'disk.answer', answer }))
  },
  'caller.head': ({ cluster }, { requestId, facts }) => {
    const row = cluster.callers.find(requestId)
    if (row === undefined) return
    cluster.observe({ kind: 'head', at: cluster.scheduler.getNow(), token: row.token, caller: row.caller, adapter: facts.adapter, version: facts.version })
  },
  'caller.chunk': ({ cluster }, { requestId, data }) => {
    const row = cluster.callers.find(requestId)
    if (row === undefined) return
    cluster.observe({ kind: 'chunk', at: cluster.scheduler.getNow(), token: row.token, caller: row.caller, data })
  },
  'caller.end': ({ cluster }, { requestId, facts }) => {
    const row = cluster.callers.find(requestId)
    if (row === undefined) return
    cluster.callers.settle(requestId)
    cluster.observe({ kind: 'ended', at: cluster.scheduler.getNow(), token: row.token, caller: row.caller, replayed: facts.replayed ?? false })
  },
  'caller.fail': ({ cluster }, { requestId, failure }) => {
    const row = cluster.callers.find(requestId)
    if (row === undefined) return
    cluster.callers.settle(requestId)
    addLogLine(cluster, `${row.host} ${row.token} failed: ${failure.code} at ${failure.step}, ran ${failure.ran}: ${failure.message}`)
    cluster.observe({ kind: 'failed', at: cluster.scheduler.getNow(), token: row.token, caller: row.caller, ran: failure.ran, code: failure.code })
  },
  'operator.reply': ({ cluster }, { opId, reply }) => {
    cluster.operatorReplies.get(opId)?.(reply)
    cluster.operatorReplies.delete(opId)
  },
  log: ({ cluster, host }, { level, message, fields }) => { addLogLine(cluster, `${host} ${level} ${message} ${JSON.stringify(fields)}`) },
  metric: () => {},
  'host.health': ({ cluster, host }, { ready, reason }) => {
    cluster.healthy.set(host, ready)
    addLogLine(cluster, `${host} ready ${ready}: ${reason}`)
  },
  'host.stopped': ({ cluster, host }) => {
    cluster.observe({ kind: 'hostStopped', at: cluster.scheduler.getNow(), host, cutTokens: cluster.callers.listOpen(host) })
    cluster.hosts.get(host)?.stop()
    cluster.healthy.delete(host)
  }
}

/** Executes one output of a host, unless the host has restarted since. */
export function executeOutput (cluster: ClusterState, host: string, incarnation: number, output: HostOutput): void {
  cluster.onOutput?.(host, output)
  if (cluster.hosts.get(host)?.getIncarnation() !== incarnation) return
  const handler = handlers[output.kind] as Handler<HostOutput['kind']>
  handler({ cluster, host, incarnation }, output)
}
