/** Limits and intervals of a voter. */

/** Maximum commands accepted and not yet answered; more are refused as busy. */
export const MAX_PENDING_COMMANDS = 10_000

/** Maximum estimated bytes of the commands accepted and not yet answered. */
export const MAX_PENDING_BYTES = 32 * 1024 * 1024

/** Maximum reads in flight. */
export const MAX_PENDING_QUERIES = 10_000

/** Maximum commands in one entry. */
export const MAX_BATCH_COMMANDS = 256

/** Maximum estimated bytes of one entry. */
export const MAX_BATCH_BYTES = 128 * 1024

/** Maximum entries applied in one run. */
export const MAX_APPLY_ENTRIES = 256

/** Maximum estimated bytes of the entries applied in one run, so that heartbeats are sent in between. */
export const MAX_APPLY_BYTES = 128 * 1024

/** Maximum number of times that a command or query is forwarded. */
export const MAX_HOPS = 3

/**
 * The log is compacted when it has grown by this much, or by the size of the last snapshot if that is larger. A member
 * without a log gets at most that much beside the snapshot.
 */
export const MIN_COMPACT_BYTES = 1024 * 1024

/** Entries before a snapshot that stay in memory for followers that lag slightly. */
export const TAIL_ENTRIES = 4_096

/** Their bytes at most, as a multiple of what the log may grow by before it is compacted. */
export const TAIL_RATIO = 2

/** Interval at which a voter replacement tries its next step. */
export const REPLACEMENT_STEP_MS = 100

/** A voter that last held all committed entries longer ago than this no longer counts as following the log. */
export const CAUGHT_UP_TIMEOUT_MS = 2_000
