/**
 * Load requests of an entry host to the leader for an engine that has an adapter. Added by the relay when no engine with the
 * adapter has capacity, and sent on runs of the host's loop, again when the leader changes or does not answer.
 */
import type { AdapterKey, AdapterName, DurationMs, EndpointId, HostId, ModelId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** A request without an answer is sent again after this. */
const RESEND_MS = 700
/** Pause before a refused request is sent again, and between checks for a leader while none is known. */
const RETRY_PAUSE_MS = 50

export interface LoadRequest {
  readonly pool: string
  readonly model: ModelId
  readonly adapter: AdapterName
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number
  /** Engines that must not be granted. */
  readonly avoid: readonly EndpointId[]
  readonly askedAt: MonotonicMs
  /** How long to wait for a load to begin, from when the leader may order one. */
  readonly waitMs: DurationMs
  /** When the request is refused at the latest. */
  readonly deadlineAt: MonotonicMs
  /** When the adapter must be loaded for the answer to be on time. */
  readonly onTimeUntil: MonotonicMs
  /** The same for each attempt of a caller at the same work; undefined if that cannot be told. */
  readonly workId: string | undefined
  /** Only engines of this version of their software may be granted; undefined if any may. */
  readonly softwareVersion?: string
}

export type LoadAnswer =
  | { readonly kind: 'given', readonly endpoint: EndpointId, readonly adapterKey: AdapterKey }
  /** `isLocal`: this host knows no leader, while others may. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMs: DurationMs, readonly isLocal?: boolean }

type Answer = Extract<FleetMessage, { kind: 'load.given' | 'load.refused' }>

interface RequestRow {
  readonly askId: number
  readonly request: LoadRequest
  readonly onAnswer: (answer: LoadAnswer) => void
  sentTo: HostId | undefined
  sendAt: MonotonicMs
}

export interface LoadRequests {
  readonly add: (request: LoadRequest, onAnswer: (answer: LoadAnswer) => void) => void
  /** False if no request waits for the answer. */
  readonly receive: (answer: Answer, now: MonotonicMs) => boolean
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs | undefined
}

/** Time after which a caller may retry whose load request reached its deadline. */
const RETRY_AFTER_MS = 300

/** When the request is refused if no leader is known, or the leader refuses it. */
function getWaitUntil ({ request: { askedAt, waitMs } }: RequestRow): MonotonicMs {
  return askedAt + waitMs
}

/** Whether the caller is refused. A host that does not lead cannot tell that the load would fail, so its refusal is final only if no time is left to ask again. */
function isFinal (row: RequestRow, { isLeading = true, retryAfterMs }: Extract<Answer, { kind: 'load.refused' }>, now: MonotonicMs): boolean {
  return isLeading ? getWaitUntil(row) - now <= retryAfterMs : row.request.deadlineAt - now <= RETRY_PAUSE_MS
}

/** Creates an empty table of requests. */
export function createLoadRequests (): LoadRequests {
  const rows = new Map<number, RequestRow>()
  let nextAskId = 1

  function finish (row: RequestRow, answer: LoadAnswer): void {
    rows.delete(row.askId)
    row.onAnswer(answer)
  }

  function send (row: RequestRow, leader: HostId, context: RunContext): void {
    const { askedAt: _askedAt, deadlineAt, onTimeUntil, ...request } = row.request
    row.sentTo = leader
    row.sendAt = context.now + RESEND_MS
    context.send(leader, { kind: 'load.ask', askId: row.askId, ...request, remainingMs: deadlineAt - context.now, onTimeMs: onTimeUntil - context.now })
  }

  return {
    add: (request, onAnswer) => {
      const askId = nextAskId++
      rows.set(askId, { askId, request, onAnswer, sentTo: undefined, sendAt: Number.NEGATIVE_INFINITY })
    },
    receive: (answer, now) => {
      const row = rows.get(answer.askId)
      if (row === undefined) return false
      if (answer.kind === 'load.given') finish(row, { kind: 'given', endpoint: answer.endpoint, adapterKey: answer.adapterKey ?? '' })
      else if (isFinal(row, answer, now)) finish(row, { kind: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs })
      else row.sendAt = now + RETRY_PAUSE_MS
      return true
    },
    run: (context, leader) => {
      for (const row of rows.values()) {
        const isOver = context.now >= row.request.deadlineAt || (leader === undefined && context.now >= getWaitUntil(row))
        if (isOver) finish(row, { kind: 'refused', reason: leader === undefined ? 'no leader is known' : 'the leader did not answer in time', retryAfterMs: RETRY_AFTER_MS, isLocal: leader === undefined })
        else if (leader === undefined) row.sendAt = context.now + RETRY_PAUSE_MS
        else if (context.now >= row.sendAt || row.sentTo !== leader) send(row, leader, context)
      }
    },
    getNextAt: () => {
      let nextAt = Infinity
      for (const { request: { deadlineAt }, sendAt } of rows.values()) nextAt = Math.min(nextAt, deadlineAt, sendAt)
      return nextAt === Infinity ? undefined : nextAt
    }
  }
}
