/** Protocol limits and intervals shared by several packages, each with its unit in its name. */

/** Version of the peer protocol; hosts of different versions refuse each other's links. */
export const PEER_PROTOCOL_VERSION = 1

/** Largest frame on a peer link. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024

/** Assumed upper bound of the relative drift of two hosts' monotonic clocks, as a fraction. */
export const MAX_CLOCK_DRIFT_FRACTION = 0.01

/** A longer gap between two runs of the event loop counts as a pause of the process, after which leases and grants are treated as expired. */
export const PAUSE_THRESHOLD_MS = 400

/** Longest zone lease that a lease voter grants. */
export const MAX_ZONE_LEASE_MS = 3_000

/** Longest sub-lease of an owner; it ends within the zone lease. */
export const MAX_SUB_LEASE_MS = 2_000

/** Longest time that an order can be in flight before its connection is reset. */
export const MAX_ORDER_MS = 4_000

/** Longest time that an order to evict can be in flight before its connection is reset. */
export const MAX_EVICT_MS = 1_000

/** Interval of a host's heartbeats within its zone. */
export const HEARTBEAT_INTERVAL_MS = 500

/** Time after which a leaving endpoint must get no new work. */
export const LEAVING_LIMIT_MS = 5_000

/** Largest answer stored for resent requests of non-idempotent work. */
export const MAX_KEPT_ANSWER_BYTES = 64 * 1024

/** Largest request body accepted from a caller. */
export const MAX_REQUEST_BYTES = 4 * 1024 * 1024
