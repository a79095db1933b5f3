/** Faults that a fake can be told to show. All are off at first and may be set at any time. */

export interface FakeFaults {
  /** Load orders fail. */
  loadFails: boolean
  /** Streams go silent after this many chunks, without an end. */
  silentAfterChunks: number | undefined
  /** Connections are cut after this many chunks. */
  cutAfterChunks: number | undefined
  /** Answers carry this attempt id in place of the asked one. */
  crossedAttemptId: string | undefined
  /** Answers name this version in place of the asked one. */
  wrongVersion: string | undefined
  /** Answers begin this much later. */
  lateMs: number
  /** Token and load times are multiplied by this. */
  slowFactor: number
  /** The answer to an order is lost: it is carried out and the connection cut. */
  loseOrderAnswers: boolean
  /** New requests are refused with this status. */
  refuseStatus: number | undefined
}

/** Creates a set of faults with all off. */
export function createFakeFaults (): FakeFaults {
  return {
    loadFails: false,
    silentAfterChunks: undefined,
    cutAfterChunks: undefined,
    crossedAttemptId: undefined,
    wrongVersion: undefined,
    lateMs: 0,
    slowFactor: 1,
    loseOrderAnswers: false,
    refuseStatus: undefined
  }
}
