/** Intervals, timeouts and limits of placement. */

/** Interval at which the leader polls the platform's endpoint list and evicts idle adapters. */
export const LIST_INTERVAL_MS = 400

/** Interval at which the leader evaluates endpoint health from the reports of entry hosts. */
export const HEALTH_INTERVAL_MS = 50

/** Maximum lag of the endpoint list. The outcome of an order given within this time takes precedence over the list. */
export const MAX_LIST_LAG_MS = 1_600

/** An order whose response was lost may still be executed this much later. */
export const MAX_ORDER_DELAY_MS = 13_000

/** Delay before an engine is polled about an adapter load from the weight store. */
export const STORE_LOAD_POLL_MS = 252

/** The same for a load from the engine's own memory. */
export const CACHED_LOAD_POLL_MS = 25

/** Pause before an order for an adapter is sent again if the engine has not completed or not answered it. */
export const ORDER_RESEND_MS = 15

/** The same for the load of a base model. */
export const MODEL_LOAD_RESEND_MS = 250

/** An adapter job that takes longer than this is abandoned; its slot stays taken until the endpoint list shows the outcome. */
export const ADAPTER_LOAD_TIMEOUT_MS = 4_000

/** Maximum adapter loads in progress on one engine; the engine refuses more. */
export const MAX_LOADS_PER_ENDPOINT = 4

/**
 * Maximum adapter loads in progress from the weight store, for each base model load per second that it allows, and the
 * minimum of that maximum. Beyond the capacity of the store each load takes longer, so more loads gain nothing.
 */
export const CONCURRENT_STORE_LOADS_PER_RATE = 2.5
export const MIN_CONCURRENT_STORE_LOADS = 8

/**
 * Callers waiting for an adapter per additional engine that loads it at the same time: a share of what an engine runs at once, and
 * a minimum. And the maximum of additional engines.
 */
export const EXTRA_LOAD_BATCH_SHARE = 0.125
export const MIN_WAITERS_PER_EXTRA_LOAD = 4
export const MAX_EXTRA_LOADS = 3

/**
 * Adapter slots of an engine that stay empty, so that a load ordered by an earlier leader does not overfill it, until the engine
 * has confirmed an order of this leader and the endpoint list must show what it held then.
 */
export const RESERVED_SLOTS = 1

/** Share of an engine's adapter slots freed ahead of loads, and the idle time after which an adapter is evicted for that. */
export const MIN_FREE_SLOT_SHARE = 0.12
export const PROACTIVE_EVICT_IDLE_MS = 2_500

/** An adapter used or granted more recently than this is not evicted: hosts report the begin and end of use within this time. */
export const EVICT_IDLE_MS = 200

/** For a replica that no caller waits for, only an adapter idle for longer than this is evicted. */
export const REPLICA_EVICT_IDLE_MS = 4_000

/** Maximum adapters remembered as cached in an engine's own memory after their eviction. */
export const MAX_CACHED_ADAPTERS = 100

/**
 * Maximum base model loads in progress, per load per second that the weight store allows, and the minimum of that maximum.
 * The store runs about a quarter of its rate at full speed; beyond that, each load takes proportionally longer and the
 * throughput stays the same.
 */
export const CONCURRENT_MODEL_LOADS_PER_RATE = 0.25
export const MIN_CONCURRENT_MODEL_LOADS = 2

/** Window over which base model loads are counted against the rate limit of the weight store. */
export const MODEL_LOAD_WINDOW_MS = 5_000

/** Requests reported by an entry host longer ago than this no longer count as running. */
export const USE_REPORT_TTL_MS = 2_500

/** Time after which a refused caller may retry. */
export const REFUSED_RETRY_MS = 300

/** A waiting caller is refused when less than this is left until its deadline. */
export const MIN_REMAINING_MS = 60
