/** Checks what callers received against what engines received, independently of the routing code. */
import type { HostOutput } from '@catkinferry/host.events'
import type { CallerRequest } from '@catkinferry/core.types'

export const PARTS_PER_ANSWER = 3

/** Builds one part of the only correct answer to a request. */
export function buildPart (requestId: string, index: number): string {
  return `${requestId}/${index};`
}

function buildWholeAnswer (requestId: string): string {
  return Array.from({ length: PARTS_PER_ANSWER }, (_, index) => buildPart(requestId, index)).join('')
}

export interface Observations {
  readonly submitted: ReadonlyMap<string, CallerRequest>
  /** Attempts of which a byte may have been sent, one entry for each dispatch. */
  readonly received: readonly string[]
  readonly outputs: readonly HostOutput[]
}

interface CallerView {
  text: string
  ends: number
  fails: string[]
  replayed: boolean
}

function collectViews (outputs: readonly HostOutput[]): Map<string, CallerView> {
  const views = new Map<string, CallerView>()
  const getView = (requestId: string): CallerView => {
    const view = views.get(requestId) ?? { text: '', ends: 0, fails: [], replayed: false }
    views.set(requestId, view)
    return view
  }
  for (const output of outputs) {
    if (output.kind === 'caller.chunk') getView(output.requestId).text += output.data
    if (output.kind === 'caller.fail') getView(output.requestId).fails.push(output.failure.ran)
    if (output.kind !== 'caller.end') continue
    const view = getView(output.requestId)
    view.ends += 1
    view.replayed = output.facts.replayed === true
  }
  return views
}

function findAnswerViolations (requestId: string, view: CallerView, mayHaveRun: boolean): string[] {
  const violations: string[] = []
  const whole = buildWholeAnswer(requestId)
  if (view.ends + view.fails.length > 1) violations.push(`${requestId} got more than one final answer`)
  if (view.ends > 0 && !view.replayed && view.text !== whole) violations.push(`${requestId} got '${view.text}' as a complete answer`)
  if (!view.replayed && !whole.startsWith(view.text)) violations.push(`${requestId} got parts that do not belong to its answer`)
  if (view.fails.includes('no') && mayHaveRun) violations.push(`${requestId} was reported as not run but may have run`)
  return violations
}

function findRepeatedWork (observations: Observations, attemptOf: ReadonlyMap<string, string>): string[] {
  const byKey = new Map<string, number>()
  for (const attemptId of observations.received) {
    const request = observations.submitted.get(attemptOf.get(attemptId) ?? '')
    if (request === undefined || request.idempotent) continue
    const key = request.claimKey ?? request.requestId
    byKey.set(key, (byKey.get(key) ?? 0) + 1)
  }
  return [...byKey].filter(([, count]) => count > 1).map(([key, count]) => `work under the key ${key} was sent ${count} times`)
}

/** Lists every violation of the guarantees to callers. */
export function findViolations (observations: Observations): string[] {
  const attemptOf = new Map(observations.outputs.flatMap(output => output.kind === 'attempt.start' ? [[output.attemptId, output.requestId] as const] : []))
  const ranRequests = new Set(observations.received.map(attemptId => attemptOf.get(attemptId)))
  const violations = [...collectViews(observations.outputs)].flatMap(([requestId, view]) => findAnswerViolations(requestId, view, ranRequests.has(requestId)))
  return [...violations, ...findRepeatedWork(observations, attemptOf)]
}
