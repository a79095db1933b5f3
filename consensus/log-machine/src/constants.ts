/** Timeouts and size limits of the replicated log. */

/** Interval of the leader's heartbeats while there is nothing to replicate. */
export const LEADER_HEARTBEAT_MS = 200

/** Minimum silence of the leader before a voter starts an election; until then voters also support no other candidate. */
export const MIN_ELECTION_TIMEOUT_MS = 800

/** Minimum wait for a leader after startup. */
export const MIN_FIRST_ELECTION_TIMEOUT_MS = 300

/** Maximum silence of the leader before a voter starts an election. */
export const MAX_ELECTION_TIMEOUT_MS = 1_600

/** A leader that has not heard from a majority for this long steps down. */
export const CHECK_QUORUM_MS = 1_000

/** A run that is overdue by more than this indicates a pause of the process. */
export const PAUSE_THRESHOLD_MS = 300

/**
 * After a pause, silence of the peers counts only after this time, so that messages that arrived meanwhile are handled
 * first.
 */
export const PAUSE_GRACE_MS = 200

/** A leadership transfer is abandoned after this time. */
export const TRANSFER_TIMEOUT_MS = 1_500

/** Maximum estimated bytes of the entries in one append message, so that a slow link passes one within `IN_FLIGHT_TIMEOUT_MS`. */
export const MAX_APPEND_BYTES = 256 * 1024

/** Maximum entries in one append message. */
export const MAX_APPEND_ENTRIES = 512

/** Maximum unanswered append messages with entries per peer. */
export const MAX_APPENDS_IN_FLIGHT = 16

/** Appends in flight count as lost after this time without an acknowledgement. */
export const IN_FLIGHT_TIMEOUT_MS = 1_000

/** Maximum snapshot bytes in one message. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024

/**
 * A peer gets a snapshot once the entries that it lacks up to there have this many times its size. Sizes of entries are
 * estimates, within a factor of two.
 */
export const LOG_TO_SNAPSHOT_RATIO = 2

/** An unanswered snapshot chunk is resent after this time. */
export const SNAPSHOT_RESEND_MS = 500

/** Maximum bytes of a snapshot accepted from a leader. */
export const MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024

/** A member at most this far behind the commit index counts as caught up. */
export const MAX_CAUGHT_UP_LAG_ENTRIES = 64
