/** Timing and bounds of the relay. */

/** A new connection to an endpoint that is not established after this is given up: several round trips between regions. */
export const CONNECT_TIMEOUT_MS = 300

/**
 * An endpoint is silent when requests wait there and no byte has come on any connection for this long, and for this many times
 * its usual time to the first byte; a full batch pauses its streams for up to 0.3 s. This host alone leaves it only after longer.
 */
export const SILENCE_MS = 600
export const LONE_DOUBT_MS = 1_200
export const SILENCE_FIRST_BYTES = 4
export const SILENCE_CHECK_MS = 50

/** An idle connection to an endpoint is not used again after this, or after a part of what the endpoint announces. */
export const MAX_IDLE_MS = 8_000
export const IDLE_FRACTION = 0.8

/** Answers up to this size are read whole before the caller gets their head, so that a broken one can be tried again. */
export const MAX_HELD_ANSWER_BYTES = 256 * 1024

/** An endpoint to which no connection could be established is avoided by this host for this long. */
export const UNREACHABLE_MS = 1_000

/** Endpoints that one request may find unreachable, or that may refuse it truly, before it is given up. */
export const MAX_REFUSED_SENDS = 3

/** When a caller may come back after a refusal. */
export const RETRY_AFTER_MS = 250

/** Longest wait of a request, as a share of its time and at all, at a host that has just started and knows no routes yet. */
export const KNOWN_WAIT_FRACTION = 0.3
export const MAX_KNOWN_WAIT_MS = 2_000

/** Least time left for which a request is sent on. */
export const MIN_REMAINING_MS = 10

/** A load from the store with its way to the leader and back; a request that would wait longer at all that have the adapter has another engine load it. */
export const LOAD_COST_MS = 350

/** Longest wait for an engine to load an adapter: a share of the remaining time, and a multiple of the latency objective. */
export const LOAD_WAIT_FRACTION = 0.4
export const LOAD_WAIT_OBJECTIVES = 2

/** An adapter's older version is used for this long after a newer one was announced, if no engine has that yet. */
export const OLD_VERSION_MS = 2_500

/** Version of an adapter of which none was announced. */
export const FIRST_VERSION = 1

/** One more copy of an adapter is asked for at this share of a full batch, at most once in this time. */
export const COPY_LOAD_FRACTION = 0.35
export const COPY_INTERVAL_MS = 1_000

/** Requests for one adapter that this host sends to another region before it asks for a copy in its own. */
export const FAR_REQUESTS_FOR_COPY = 5

/** Bytes of callers' bodies held at once, at most. */
export const MAX_BODY_BYTES_IN_FLIGHT = 64 * 1024 * 1024
