/** Timing and bounds of placement. */

/** How often the holder reads the platform's list, and frees places of engines. */
export const LIST_INTERVAL_MS = 400

/** How often the health of endpoints is weighed over what entry hosts report. */
export const HEALTH_INTERVAL_MS = 50

/** What was ordered here goes before a list that may be older than this. */
export const LIST_LAG_MS = 1_600

/** An order whose answer was lost may be carried out as late as this. */
export const LATE_ORDER_MS = 13_000

/** How soon a load of an adapter from the store is asked about. */
export const STORE_LOAD_MS = 252

/** The same where the engine held the adapter lately. */
export const CACHED_LOAD_MS = 25

/** Pause before an order is sent again, where the engine was not done, busy or silent. */
export const RESEND_MS = 15

/** Pause before a load of a base model is asked about again. */
export const MODEL_RESEND_MS = 250

/** A load that is not done after this is given up; the engine counts as unable to load for a while. */
export const LOAD_LIMIT_MS = 4_000

/** Adapters on their way to one engine at most; the engine refuses more. */
export const MAX_LOADS_PER_ENDPOINT = 4

/**
 * Adapters on their way from the store at once, for each base model a second that it allows, and at least. Beyond what the
 * store carries each takes longer, so that more gain nothing.
 */
export const STORE_LOADS_PER_MODEL_RATE = 2.5
export const MIN_STORE_LOADS = 8

/** Callers that wait for one adapter for each engine beyond the first that loads it at once, and such engines at most. */
export const WAITERS_PER_EXTRA_LOAD = 4
export const MAX_EXTRA_LOADS = 3

/** Places of an engine that stay empty, so that a load that was not known of does not overfill it. */
export const SPARE_PLACES = 1

/** Share of an engine's places that is freed ahead of loads, by evicting what was not used for this long. */
export const FREE_SHARE = 0.12
export const FREE_PLACES_IDLE_MS = 2_500

/** An adapter that was used or given out this recently is not evicted. */
export const EVICT_IDLE_MS = 600

/** For a copy that nobody waits for, only an adapter that was not used for this long makes way. */
export const COPY_EVICT_IDLE_MS = 4_000

/** Adapters remembered as held by an engine, after their eviction. */
export const MAX_HELD = 100

/**
 * Loads of base models under way, as a share of the loads a second that the weight store allows, and at least. The store runs
 * about a quarter of its rate at full speed; beyond, each load takes longer in proportion and none is gained or lost.
 */
export const MODEL_LOADS_PER_RATE = 0.25
export const MIN_MODEL_LOADS = 2

/** Span over which loads of base models are counted against the store's rate. */
export const MODEL_LOAD_WINDOW_MS = 5_000

/** Reports of an entry host older than this are not counted as running. */
export const USE_REPORT_MS = 2_500

/** When a caller may come back after a refusal for want of a place. */
export const REFUSED_RETRY_MS = 300

/** A load is begun for an ask only if this much of its time is left. */
export const MIN_REMAINING_MS = 60
