/** Timing and size bounds of the replicated log. */

/** How often a leader is heard from when there is nothing to replicate. */
export const LEADER_HEARTBEAT_MS = 200

/** Shortest silence of the leader before a voter asks for an election; also how long voters hold to a leader. */
export const MIN_ELECTION_TIMEOUT_MS = 800

/** Shortest wait for a leader after a start. */
export const MIN_FIRST_ELECTION_TIMEOUT_MS = 300

/** Longest silence of the leader before a voter asks for an election. */
export const MAX_ELECTION_TIMEOUT_MS = 1_600

/** A leader that has not heard from a majority for this long steps down. */
export const CHECK_QUORUM_MS = 1_000

/** A run that comes later than this after it was due follows a pause of the process. */
export const LATE_RUN_MS = 300

/** After a pause, messages that have arrived meanwhile get this long to be taken in before silence counts. */
export const PAUSE_GRACE_MS = 200

/** A leadership transfer is given up after this. */
export const TRANSFER_TIMEOUT_MS = 1_500

/** Largest payload of one append message, as estimated. */
export const MAX_APPEND_BYTES = 1024 * 1024

/** Entries in one append message at most. */
export const MAX_APPEND_ENTRIES = 512

/** Append messages with entries under way to one peer at most. */
export const MAX_APPENDS_IN_FLIGHT = 16

/** Without an acknowledgement for this long, the appends under way count as lost. */
export const IN_FLIGHT_TIMEOUT_MS = 1_000

/** Bytes of a snapshot in one message. */
export const SNAPSHOT_CHUNK_BYTES = 256 * 1024

/** An unanswered snapshot chunk is sent again after this. */
export const SNAPSHOT_RESEND_MS = 500

/** Largest snapshot that is taken from a leader. */
export const MAX_SNAPSHOT_BYTES = 512 * 1024 * 1024

/** A learner this close behind the commit index counts as caught up. */
export const CAUGHT_UP_ENTRIES = 64
