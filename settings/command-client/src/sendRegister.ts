/** Which send belongs to which question, and which sends are not yet answered. */

/** Sends of one question that are remembered; a later answer to an older one is dropped. */
const MAX_REMEMBERED_SENDS = 64

/** The sends of one question. */
export interface SendList {
  /** Sends that an answer is still taken for, oldest first. */
  readonly sendIds: string[]
  /** Sends whose answer is not known. */
  readonly openSends: Set<string>
  /** True once an unanswered send was forgotten. */
  forgot: boolean
}

export interface SendRegister<Row extends SendList> {
  readonly add: (row: Row, sendId: string) => void
  readonly find: (sendId: string) => Row | undefined
  /** Forgets all sends of a question. */
  readonly clear: (row: Row) => void
}

/** A question that was not sent yet. */
export function createSendList (): SendList {
  return { sendIds: [], openSends: new Set(), forgot: false }
}

/** True when every send was answered with a refusal. */
export function isCertain (list: SendList): boolean {
  return list.openSends.size === 0 && !list.forgot
}

/** Creates an empty register. */
export function createSendRegister<Row extends SendList> (): SendRegister<Row> {
  const rowBySend = new Map<string, Row>()
  return {
    add: (row, sendId) => {
      row.sendIds.push(sendId)
      row.openSends.add(sendId)
      rowBySend.set(sendId, row)
      if (row.sendIds.length <= MAX_REMEMBERED_SENDS) return
      const oldest = row.sendIds.shift()!
      rowBySend.delete(oldest)
      if (row.openSends.delete(oldest)) row.forgot = true
    },
    find: sendId => rowBySend.get(sendId),
    clear: row => {
      for (const sendId of row.sendIds) rowBySend.delete(sendId)
    }
  }
}
