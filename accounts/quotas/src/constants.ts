/** Intervals and time constants of quotas, shared by entry hosts and the leader. */

export const MS_PER_SECOND = 1_000

/** Interval of the usage reports of an entry host. A report whose numbers cover more time says how much. */
export const REPORT_INTERVAL_MS = 400

/** Interval of `fleet.quotas`, also without rows: entry hosts tell by it that the leader counts. */
export const QUOTAS_INTERVAL_MS = 250

/** More limited accounts than this do not all go into each message: 32 rows have about 0.7 KB, and an entry host has 9 KB/s for control. */
export const MAX_ROWS = 32

/** A share from a message that does not list all limited accounts holds for so long unless it is changed or renewed. */
export const PARTIAL_TIMEOUT_MS = 20_000

/** Shortest interval, when the demand of an account rises fast. */
export const MIN_QUOTAS_INTERVAL_MS = 100

/** Shares of limited accounts hold for this long. */
export const SHARE_TIMEOUT_MS = 1_500

/**
 * After this time without `fleet.quotas`, an entry host keeps accounts that are not limited to its local buckets.
 * Shorter than the share timeout, because a demand that rises when contact is lost is not limited until then.
 */
export const UNLIMITED_TIMEOUT_MS = 800

/** The first report to a new leader covers this much time, so that the leader knows what its predecessor learned last and what was admitted without a leader. */
export const FIRST_REPORT_PERIOD_MS = 4_000

/** The first shares that a new leader publishes rest on reports of all hosts: one interval, and the delay of messages. */
export const WARM_UP_MS = 700

/** A host whose hello is older counts as silent: two hellos at 0.5 s, and the delay of messages. */
export const SILENT_AFTER_MS = 1_300

/** What a silent host may admit is counted for this long unless the settings bound the validity of its keys. */
export const SILENT_HOST_RETENTION_MS = 20_000

/** Longest `Retry-After` of a refused request, before it is spread. */
export const MAX_RETRY_MS = 60_000
