/** First answers to change ids, so that a resent change is answered as before and never applied twice. */
import type { ChangeId, WallMs } from '@catkinferry/core.types'

/** What is kept of a first answer; the rest is read from the audit trail. */
export interface ChangeAnswer {
  readonly at: WallMs
  /** Sequence of its audit entry. */
  readonly sequence: number
  readonly result: 'accepted' | 'refused' | 'resolved'
  readonly revision: number
  /** Hash of the content of the change; another change under the same id is refused. */
  readonly fingerprint: string
}

export type SavedAnswers = readonly (readonly [ChangeId, ChangeAnswer])[]

export interface ChangeAnswers {
  readonly get: (changeId: ChangeId) => ChangeAnswer | undefined
  readonly add: (changeId: ChangeId, answer: ChangeAnswer) => void
  /** Drops the oldest answers by age and count. */
  readonly expire: (now: WallMs, bounds: { retentionMs: number, keptCount: number }) => void
  readonly save: () => SavedAnswers
  readonly load: (saved: SavedAnswers) => void
}

/** Creates an empty table of answers. */
export function createChangeAnswers (): ChangeAnswers {
  let answers = new Map<ChangeId, ChangeAnswer>()
  return {
    get: changeId => answers.get(changeId),
    add: (changeId, answer) => { answers.set(changeId, answer) },
    expire: (now, bounds) => {
      for (const [changeId, { at }] of answers) {
        if (at + bounds.retentionMs > now && answers.size <= bounds.keptCount) break
        answers.delete(changeId)
      }
    },
    save: () => [...answers],
    load: saved => { answers = new Map(saved) }
  }
}
