/** Time limits of confirmations. */

/** Part of the revocation time that is kept back for clock errors and for the time between the check of a key and the send. */
export const CONFIRMATION_MARGIN_MS = 200

/** Above this age, hellos to core hosts other than the leader ask for a confirmation too: three hellos to the leader have then got no answer. */
export const OTHER_HOSTS_AGE_MS = 1_500

/** A core host begins a read at most this often, which limits the extra rounds of heartbeats to 20 a second. It adds at most as much to the time until a confirmation. */
export const READ_INTERVAL_MS = 50

/** Maximum time of one read. Hellos that arrive during a read wait for the next one, so it must be well below the revocation time. */
export const READ_TIMEOUT_MS = 1_000

/** Time from a failed read to the next one. */
export const READ_RETRY_MS = 100

/** A hello that has waited longer for a read is not answered: the host has sent several newer ones if it is still there. */
export const MAX_WAIT_MS = 3_000

/** Changes of the wall clock against the monotonic clock up to this size are taken for jitter of the two readings. */
export const CLOCK_JITTER_MS = 20
