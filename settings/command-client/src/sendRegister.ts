/** Tracks which send belongs to which request of the resender, and which sends are not answered yet. */

/** Sends of one request that are tracked; an answer to an older send is ignored. */
const MAX_TRACKED_SENDS = 64

/** The sends of one request. */
export interface SendList {
  /** Sends whose answer is still accepted, oldest first. */
  readonly sendIds: string[]
  /** Sends that are not answered yet. */
  readonly openSends: Set<string>
  /** True once an unanswered send is no longer tracked. */
  droppedUnanswered: boolean
}

export interface SendRegister<TrackedRequest extends SendList> {
  readonly add: (request: TrackedRequest, sendId: string) => void
  readonly find: (sendId: string) => TrackedRequest | undefined
  /** Removes all sends of a request. */
  readonly clear: (request: TrackedRequest) => void
}

/** Creates the list of a request that was not sent yet. */
export function createSendList (): SendList {
  return { sendIds: [], openSends: new Set(), droppedUnanswered: false }
}

/** True if every send was answered with a refusal. */
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
