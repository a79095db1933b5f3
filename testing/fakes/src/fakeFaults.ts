/** Fault switches of the fakes. All are off initially and can be set at any time. */

export interface FakeFaults {
  /** Load orders fail. */
  loadFails: boolean
  /** Streams stop sending after this many chunks, but stay open. */
  silentAfterChunks: number | undefined
  /** Connections are closed after this many chunks. */
  cutAfterChunks: number | undefined
  /** Answers contain this attempt id instead of the requested one. */
  crossedAttemptId: string | undefined
  /** Answers contain this version instead of the requested one. */
  wrongVersion: string | undefined
  /** Additional delay before answers, in ms. */
  lateMs: number
  /** Factor on token and load times. */
  slowFactor: number
  /** Answers to orders are lost: the order is executed, then the connection is closed without an answer. */
  loseOrderAnswers: boolean
  /** New requests are refused with this HTTP status. */
  refuseStatus: number | undefined
}

/** Creates switches that are all off. */
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
