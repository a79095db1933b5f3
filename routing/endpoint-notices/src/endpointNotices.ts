/**
 * Remembers what endpoints announced in their responses to this host: that they are leaving, or how long they want no
 * requests. The relay records each announcement, and checks before each send. Notices belong to one instance of an endpoint,
 * so they outlive reconnects, route changes and changes of the leader, and end when the endpoint restarts.
 */
import type { DurationMs, EndpointId, MonotonicMs } from '@catkinferry/core.types'

/** Longest pause that an endpoint can ask for. */
export const MAX_QUIET_MS = 300_000

/** Limit on the instances remembered; the one that announced something longest ago is dropped first. */
export const MAX_NOTICES = 20_000

/** One start of an endpoint. `bornAt` is undefined where the platform does not tell when it started. */
export interface EndpointInstance {
  readonly endpoint: EndpointId
  readonly bornAt?: number
}

export interface EndpointNotices {
  /** Records that an instance is leaving. True if that was not known. */
  readonly recordLeaving: (instance: EndpointInstance) => boolean
  /** Records that an instance wants no requests for `delayMs`. A shorter delay does not end a longer one that was announced before. */
  readonly recordQuiet: (instance: EndpointInstance, delayMs: DurationMs, now: MonotonicMs) => void
  readonly isLeaving: (instance: EndpointInstance) => boolean
  /** How much longer an instance wants no requests; 0 if it takes them. */
  readonly getQuietMs: (instance: EndpointInstance, now: MonotonicMs) => DurationMs
  /** Whether a request may be sent to an instance now. */
  readonly isOpen: (instance: EndpointInstance, now: MonotonicMs) => boolean
}

interface Notice {
  leaving: boolean
  quietUntil: MonotonicMs
}

function formatKey ({ endpoint, bornAt }: EndpointInstance): string {
  return bornAt === undefined ? endpoint : `${endpoint}|${bornAt}`
}

/** Creates notices of endpoints that have announced nothing. */
export function createEndpointNotices (): EndpointNotices {
  const notices = new Map<string, Notice>()

  /** Moves the notice of an instance to the end of the order in which notices are dropped. */
  function renew (instance: EndpointInstance): Notice {
    const key = formatKey(instance)
    const notice = notices.get(key) ?? { leaving: false, quietUntil: Number.NEGATIVE_INFINITY }
    notices.delete(key)
    notices.set(key, notice)
    const [oldest] = notices.size > MAX_NOTICES ? notices.keys() : []
    if (oldest !== undefined) notices.delete(oldest)
    return notice
  }

  const isLeaving = (instance: EndpointInstance): boolean => notices.get(formatKey(instance))?.leaving === true

  const getQuietMs = (instance: EndpointInstance, now: MonotonicMs): DurationMs =>
    Math.max(0, (notices.get(formatKey(instance))?.quietUntil ?? Number.NEGATIVE_INFINITY) - now)

  return {
    recordLeaving: instance => {
      const notice = renew(instance)
      const isNew = !notice.leaving
      notice.leaving = true
      return isNew
    },
    recordQuiet: (instance, delayMs, now) => {
      const notice = renew(instance)
      notice.quietUntil = Math.max(notice.quietUntil, now + Math.min(delayMs, MAX_QUIET_MS))
    },
    isLeaving,
    getQuietMs,
    isOpen: (instance, now) => !isLeaving(instance) && getQuietMs(instance, now) === 0
  }
}
