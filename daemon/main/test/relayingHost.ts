/** A minimal host core for tests of the daemon: relays each request to one engine. */
import type { AnswerFacts } from '@catkinferry/core.types'
import type { HostEvent, HostOutput } from '@catkinferry/host.events'
import type { HostViews } from '../src/daemon.ts'
import type { RunnableHost } from '../src/shell.ts'

const FAR_MS = 60_000

/** Creates the host core; `url` is the engine's URL and `seen` lists the kinds of events received. */
export function createRelayingHost (url: string): RunnableHost & HostViews & { readonly seen: HostEvent['kind'][] } {
  let events: HostEvent[] = []
  const seen: HostEvent['kind'][] = []
  const facts = (requestId: string): AnswerFacts => ({ requestId, attempts: 1, queueMs: 0, loadStallMs: 0 })

  function buildOutputs (event: HostEvent, now: number): HostOutput[] {
    if (event.kind === 'caller.submit') {
      const { requestId, work, serviceClass } = event.request
      return [{ kind: 'attempt.start', attemptId: requestId, requestId, endpoint: 'e1', url, work, serviceClass, freshConnection: false, sendBeforeMs: now + FAR_MS, endBeforeMs: now + FAR_MS, progressTimeoutMs: FAR_MS }]
    }
    if (event.kind === 'caller.gone') return [{ kind: 'attempt.cancel', attemptId: event.requestId }]
    if (event.kind === 'attempt.started') return [{ kind: 'caller.head', requestId: event.attemptId, facts: facts(event.attemptId), status: event.status, contentType: event.contentType }]
    if (event.kind === 'attempt.chunk') return [{ kind: 'caller.chunk', requestId: event.attemptId, data: event.data }]
    if (event.kind === 'attempt.ended') return [{ kind: 'caller.end', requestId: event.attemptId, facts: facts(event.attemptId) }]
    if (event.kind === 'attempt.failed') return [{ kind: 'caller.fail', requestId: event.attemptId, failure: { ...event.failure, ran: event.sent ? 'unknown' : 'no' } }]
    if (event.kind === 'operator.request') return [{ kind: 'operator.reply', opId: event.opId, reply: { ok: true, body: { kind: event.request.kind } } }]
    if (event.kind === 'host.stop') return [{ kind: 'host.stopped' }]
    return []
  }

  return {
    seen,
    receive: event => { events.push(event) },
    run: now => {
      const pending = events
      events = []
      for (const { kind } of pending) seen.push(kind)
      return pending.flatMap(event => buildOutputs(event, now))
    },
    getNextAt: () => undefined,
    listAdapters: () => [],
    getDefaultDeadlineMs: () => FAR_MS,
    getMaxPauseMs: () => FAR_MS
  }
}
