/**
 * Format of a voter's snapshots: the last proposal time, followed by the snapshot of the state machine. Encoded when the
 * log is compacted, decoded at startup and when a snapshot arrives from the leader.
 */

const TIME_BYTES = 8

export interface VoterSnapshot {
  /** Highest proposal time that the state has seen. */
  readonly lastProposedAt: number
  readonly data: Uint8Array
}

export function encodeVoterSnapshot ({ lastProposedAt, data }: VoterSnapshot): Uint8Array {
  const encoded = Buffer.allocUnsafe(TIME_BYTES + data.byteLength)
  encoded.writeDoubleBE(lastProposedAt, 0)
  encoded.set(data, TIME_BYTES)
  return encoded
}

export function decodeVoterSnapshot (encoded: Uint8Array): VoterSnapshot {
  const view = new DataView(encoded.buffer, encoded.byteOffset, encoded.byteLength)
  return { lastProposedAt: view.getFloat64(0), data: encoded.subarray(TIME_BYTES) }
}
