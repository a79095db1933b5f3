/** Which send belongs to which question, and which sends are not yet answered. */

/** Sends of one question that are remembered; a later answer to an older one is dropped. */
const MAX_TRACKED_SENDS = 64

/** The sends of one question. */
export interface SendList {
  /** Sends that an answer is still taken for, oldest first. */
  readonly sendIds: string[]
  /** Sends whose answer is not known. */
  readonly openSends: Set<string>
  /** True once an unanswered send was forgotten. */
  droppedUnanswered: boolean
}

export interface SendRegister<TrackedRequest extends SendList> {
  readonly add: (request: TrackedRequest, sendId: string) => void
  readonly find: (sendId: string) => TrackedRequest | undefined
  /** Forgets all sends of a question. */
  readonly clear: (request: TrackedRequest) => void
}

/** A question that was not sent yet. */
export function createSendList (): SendList {
  return { sendIds: [], openSends: new Set(), droppedUnanswered: false }
}

/** True when every send was answered with a refusal. */
export function isEverySendRefused (list: SendList): boolean {
  return list.openSends.size === 0 && !list.droppedUnanswered
}

/** Creates an empty register. */
export function createSendRegister<TrackedRequest extends SendList> (): SendRegister<TrackedRequest> {
  const requestBySendId = new Map<string, TrackedRequest>()
  return {
    add: (request, sendId) => {
      request.sendIds.push(sendId)
      request.openSends.add(sendId)
      requestBySendId.set(sendId, request)
      if (request.sendIds.length <= MAX_TRACKED_SENDS) return
      const oldest = request.sendIds.shift()!
      requestBySendId.delete(oldest)
      if (request.openSends.delete(oldest)) request.droppedUnanswered = true
    },
    find: sendId => requestBySendId.get(sendId),
    clear: request => {
      for (const sendId of request.sendIds) requestBySendId.delete(sendId)
    }
  }
}
