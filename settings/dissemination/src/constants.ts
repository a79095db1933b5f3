/** Timeouts, intervals and sizes of the dissemination. */

/** A subscriber gets a heartbeat if nothing was sent to it for this long. */
export const HEARTBEAT_MS = 1_000

/** An upstream that sends nothing for this long counts as lost. */
export const SILENCE_TIMEOUT_MS = 1_500

/** Time within which a new upstream must send its first answer. */
export const FIRST_ANSWER_TIMEOUT_MS = 500

/** Interval of subscription renewals; a subscription that is not renewed ends after the lease. */
export const RENEW_INTERVAL_MS = 5_000
export const SUBSCRIPTION_LEASE_MS = 12_000

/** Interval at which a better upstream is tried. */
export const TRIAL_INTERVAL_MS = 5_000

/** A host counts as cut off if its last contact with a majority is older than this. */
export const CUT_OFF_AFTER_MS = 5_000

/** A voter whose log lacks a revision for longer than this, while another voter's zone has applied it, takes its settings from other hosts. */
export const MAX_VOTER_LAG_MS = 1_000

/** Hosts of a zone that subscribe to the same host while none has failed. */
export const FAN_OUT = 6

/** An upstream heartbeat is forwarded at once to subscribers that were sent nothing for this fraction of the heartbeat interval. */
export const HEARTBEAT_FORWARD_FRACTION = 0.5

/** Time that a starting host waits for the answers of all probed hosts, and interval at which it probes again those that have not answered. */
export const PROBE_WINDOW_MS = 1_000
export const PROBE_RETRY_MS = 250

/** Time over which applied revisions are batched before they are reported: by a host without subscribers, by one with subscribers, and by the relay of a zone. */
export const LEAF_REPORT_DELAY_MS = 50
export const INNER_REPORT_DELAY_MS = 300
export const RELAY_REPORT_DELAY_MS = 1_000

/** Interval at which all applied revisions are reported again. */
export const REPORT_REFRESH_INTERVAL_MS = 60_000

/** Minimum time between two requests for missing revisions. */
export const MIN_REPAIR_INTERVAL_MS = 200

/** Node ids that one part of the full state covers, and nodes in one message of deltas at most. */
export const NODE_IDS_PER_PART = 2_000
export const MAX_MESSAGE_NODES = 2_000
