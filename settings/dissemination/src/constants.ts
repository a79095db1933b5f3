/** Times and sizes of the dissemination. */

/** A subscriber that was sent nothing for this long is sent a heartbeat. */
export const HEARTBEAT_MS = 1_000

/** Silence of the upstream that counts as its loss. */
export const SILENCE_TIMEOUT_MS = 1_500

/** Time in which a newly asked upstream must answer. */
export const FIRST_ANSWER_TIMEOUT_MS = 500

/** A subscription is renewed this often, and ends without renewal after the lease. */
export const RENEW_INTERVAL_MS = 5_000
export const SUBSCRIPTION_LEASE_MS = 12_000

/** How often a better upstream is tried. */
export const TRIAL_INTERVAL_MS = 5_000

/** Age of the last sign of a majority from which on this host counts as cut off. */
export const CUT_OFF_AFTER_MS = 5_000

/** A voter that has lacked a revision for this long, which another voter's zone has applied, takes its settings from others. */
export const MAX_VOTER_LAG_MS = 1_000

/** Hosts of a zone that are subscribed to the same one, while none has failed. */
export const FAN_OUT = 6

/** Share of the heartbeat interval after which a heartbeat is passed on at once. */
export const HEARTBEAT_FORWARD_FRACTION = 0.5

/** A starting host waits this long for answers of all whom it probes. */
export const PROBE_WINDOW_MS = 1_000
export const PROBE_RETRY_MS = 250

/** Applied revisions are gathered this long before they are passed on: by a host that nobody is subscribed to, by others, and by the relay of a zone. */
export const LEAF_REPORT_DELAY_MS = 50
export const INNER_REPORT_DELAY_MS = 300
export const RELAY_REPORT_DELAY_MS = 1_000

/** All applied revisions are passed on again after this. */
export const REPORT_REFRESH_INTERVAL_MS = 60_000

/** Least time between two repairs of a gap. */
export const MIN_REPAIR_INTERVAL_MS = 200

/** Node ids in one part of the full state; nodes in one message of deltas. */
export const NODE_IDS_PER_PART = 2_000
export const MAX_MESSAGE_NODES = 2_000
