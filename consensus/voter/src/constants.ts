/** Bounds of a voter. */

/** Commands taken in and not yet answered, at most; more are refused as busy. */
export const MAX_PENDING_COMMANDS = 10_000

/** Estimated bytes of commands taken in and not yet answered, at most. */
export const MAX_PENDING_BYTES = 32 * 1024 * 1024

/** Reads under way at most. */
export const MAX_PENDING_QUERIES = 10_000

/** Commands in one entry at most. */
export const MAX_BATCH_COMMANDS = 256

/** Estimated bytes of one entry at most. */
export const MAX_BATCH_BYTES = 128 * 1024

/** Entries applied in one run at most. */
export const MAX_APPLY_ENTRIES = 256

/** Estimated bytes of the entries applied in one run at most, so that heartbeats go out in between. */
export const MAX_APPLY_BYTES = 128 * 1024

/** A command or query is handed on this many times at most. */
export const MAX_HOPS = 3

/** The log is compacted when it has grown by this much, or by the size of the last snapshot if that is more. */
export const MIN_COMPACT_BYTES = 8 * 1024 * 1024

/** Entries kept before a snapshot for followers that are a little behind. */
export const TAIL_ENTRIES = 4_096

/** How often a replacement of a voter tries its next step. */
export const REPLACEMENT_STEP_MS = 100

/** A voter that has not held all that was committed for this long no longer counts as following the log. */
export const KEEPS_UP_MS = 2_000
