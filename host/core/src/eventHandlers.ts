/** Dispatches each event to the system of the host that handles it. */
import type { HostEvent, RunContext } from '@catkinferry/host.events'
import { handleMessage } from './messageHandlers.ts'
import { tryReceive } from './tryReceive.ts'
import { submitRefusedChange } from './operatorCommands.ts'
import { handleOperatorRequest } from './operatorQuestions.ts'
import type { HostState } from './hostState.ts'

type Handler<Kind extends HostEvent['kind']> = (host: HostState, event: Extract<HostEvent, { kind: Kind }>, context: RunContext) => void

const handleAttempt = (host: HostState, event: Extract<HostEvent, { kind: 'attempt.started' | 'attempt.chunk' | 'attempt.ended' | 'attempt.failed' }>, context: RunContext): void => {
  host.systems.requests.receiveAttempt(event, context)
}

const handlers: { readonly [Kind in HostEvent['kind']]: Handler<Kind> } = {
  'peer.message': (host, { from, message }, context) => { tryReceive((peer, received, ctx) => handleMessage(host.systems, peer, received, ctx), from, message, context) },
  'peer.link': (host, event, context) => {
    host.links.set(event.host, event.up)
    if (!event.up) host.systems.dissemination.handleLinkDown(event.host, context)
  },
  'caller.submit': (host, event, context) => { host.systems.requests.receiveSubmit(event.request, context) },
  'caller.gone': (host, event, context) => { host.systems.requests.receiveCallerGone(event.requestId, context) },
  'attempt.started': handleAttempt,
  'attempt.chunk': handleAttempt,
  'attempt.ended': handleAttempt,
  'attempt.failed': handleAttempt,
  'order.result': (host, event, context) => { host.systems.zone.receiveOrderResult(event, context) },
  'endpoint.report': (host, event, context) => { host.systems.zone.receiveReport(event, context) },
  'endpoint.unreachable': (host, event, context) => { host.systems.zone.receiveUnreachable(event, context) },
  'endpoint.cache': (host, event, context) => { host.systems.requests.receiveCacheEvent(event, context) },
  'platform.list': (host, event, context) => { host.systems.zone.receivePlatformList(event, context) },
  'platform.unreachable': (_host, _event, context) => { context.emit({ kind: 'metric', type: 'count', name: 'platform.unreachable', value: 1 }) },
  'disk.answer': (host, event, context) => { host.systems.voting?.voter.receiveDisk(event.answer, context) },
  'operator.request': (host, event, context) => { handleOperatorRequest(host, event.opId, event.request, context) },
  'operator.refused': (host, event, context) => { submitRefusedChange(host, event, context) },
  'host.stop': (host, _event, context) => { beginShutdown(host, context) }
}

function beginShutdown (host: HostState, context: RunContext): void {
  if (host.stopping) return
  host.stopping = true
  host.systems.requests.beginShutdown(context)
  host.systems.zone.beginShutdown(context)
  host.systems.voting?.voter.transferLeadership(context)
}

export function handleEvent (host: HostState, event: HostEvent, context: RunContext): void {
  const handler = handlers[event.kind] as (host: HostState, event: HostEvent, context: RunContext) => void
  handler(host, event, context)
}
