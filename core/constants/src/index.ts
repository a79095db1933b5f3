/** Constants that several packages share, each with its unit in its name. */

/** Version of the peer protocol; hosts of different versions refuse each other. */
export const PEER_PROTOCOL_VERSION = 1

/** Largest peer frame in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024

/** Assumed bound on the relative drift of two hosts' monotonic clocks, as a fraction. */
export const MAX_CLOCK_DRIFT_FRACTION = 0.01

/** A gap between two runs of the loop beyond this counts as a pause: leases and grants are treated as expired. */
export const PAUSE_THRESHOLD_MS = 400

/** Longest zone lease that a lease voter grants. */
export const MAX_ZONE_LEASE_MS = 3_000

/** Longest sub-lease of an owner; ends inside the zone lease. */
export const MAX_SUB_LEASE_MS = 2_000

/** Longest time that an order can be under way before it is cut. */
export const MAX_ORDER_MS = 4_000

/** Longest time that an order to evict can be under way before it is cut. */
export const MAX_EVICT_MS = 1_000

/** A host's heartbeat inside its zone. */
export const HEARTBEAT_INTERVAL_MS = 500

/** A leaving endpoint must get no new work after this. */
export const LEAVING_LIMIT_MS = 5_000

/** Largest answer kept for resends of non-idempotent work, in bytes. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024

/** Largest request body taken from a caller, in bytes. */
export const MAX_REQUEST_BYTES = 4 * 1024 * 1024
