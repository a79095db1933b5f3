/** Timeouts, limits and thresholds of the relay. */

/** Timeout for opening a connection to an endpoint. Allows several round trips between regions. */
export const CONNECT_TIMEOUT_MS = 300

/**
 * An endpoint is silent while requests are in flight there and no byte has arrived on any connection for longer than
 * both `SILENCE_MS` and `SILENCE_FIRST_BYTE_FACTOR` times its average time to first byte. A full batch pauses its streams for up to 0.3 s.
 */
export const SILENCE_MS = 600
/**
 * An endpoint to which new connections can be opened may be silent for a second and go on. Only longer silence is reported, and
 * counts as a failure if a caller leaves meanwhile.
 */
export const STALL_MS = 1_500
/** Silence after which this host avoids an endpoint although the leader does not report it as suspect. */
export const LOCAL_SILENCE_MS = STALL_MS
export const SILENCE_FIRST_BYTE_FACTOR = 4

/** Idle connections are not reused after this, or after this fraction of the keep-alive time that the endpoint announces. */
export const MAX_IDLE_MS = 8_000
export const IDLE_FRACTION = 0.8

/** Responses up to this size are buffered before anything is sent to the caller, so that the request can be retried if one is truncated. */
export const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

/** Bytes that may arrive before the head of a response, between two pieces of its body, and after the head of one that is not forwarded. */
export const MAX_HEAD_BYTES = 64 * 1024
export const MAX_FRAMING_BYTES = 256 * 1024
export const MAX_DISCARDED_BYTES = 64 * 1024

/** Size limit of one server-sent event. */
export const MAX_EVENT_BYTES = 1024 * 1024

/** Longest event ID after which a stream is resumed. Servers take 8 KB of headers or more; a forwarded request carries the ID in up to six bytes a character. */
export const MAX_EVENT_ID_BYTES = 1024

/** Event IDs of one stream that are remembered, as digests; only streams whose IDs are not numbers need them. */
export const MAX_REMEMBERED_IDS = 10_000

/** Heap of a remembered event ID: its digest and the entry of a set. */
export const REMEMBERED_ID_BYTES = 128

/** Event IDs of all streams that are remembered: as much memory as one endpoint may have for its responses. */
export const MAX_REMEMBERED_IDS_IN_ALL = 16 * 1024 * 1024 / REMEMBERED_ID_BYTES

/**
 * Limits on what this host holds of the responses of one endpoint or peer, and of all: 64 responses that are buffered, at three
 * endpoints. With event IDs, what waits for callers and their bodies that leaves a quarter of the smallest hosts, which have 210 MB.
 */
export const MAX_ENDPOINT_RESPONSE_BYTES = 64 * MAX_BUFFERED_RESPONSE_BYTES
export const MAX_HELD_RESPONSE_BYTES = 3 * MAX_ENDPOINT_RESPONSE_BYTES

/** Limits on what waits for callers to read it: for one connection two of the largest events, and for all 128 responses that are buffered. */
export const MAX_CALLER_QUEUE_BYTES = 2 * MAX_EVENT_BYTES
export const MAX_CALLER_QUEUES_BYTES = 128 * MAX_BUFFERED_RESPONSE_BYTES

/** Interval of the probes of an endpoint to which a connection failed; this host avoids it until one succeeds. */
export const UNREACHABLE_MS = 1_000

/** Attempts of one request that may fail without having run (refused or no connection) before the relay gives up. */
export const MAX_NOT_RUN_ATTEMPTS = 3

/** Default `Retry-After` of refused requests. */
export const RETRY_AFTER_MS = 250

/** `Retry-After` of requests with a quarantined prompt part, which is not served before the leader releases it. */
export const QUARANTINE_RETRY_AFTER_MS = 60_000

/** A response that still sends chunks after this time from its head shows that its prompt does not crash the endpoint. */
export const SOUND_RESPONSE_MS = 300

/** Longest wait for routes and endpoints on a host that has just started: a fraction of the caller's deadline, and an absolute limit. */
export const STARTUP_WAIT_FRACTION = 0.3
export const MAX_STARTUP_WAIT_MS = 2_000

/**
 * Longest wait of a request with a key on a host that cannot tell whether keys are valid: a confirmation takes one round trip to a
 * core host and one among the core hosts, tens of ms also between regions.
 */
export const ACCOUNT_WAIT_MS = 250

/** A request with less time left than this is not sent to an endpoint. */
export const MIN_REMAINING_MS = 10

/**
 * Cost of loading an adapter from storage, including the round trip to the leader. A request whose cost is higher on every
 * engine that has the adapter has another engine load it.
 */
export const ADAPTER_LOAD_COST_MS = 350

/** Longest wait for an engine to load an adapter, as a fraction of the remaining time, and for such a load to begin, as a multiple of the route's latency objective. */
export const ADAPTER_LOAD_WAIT_FRACTION = 0.4
export const ADAPTER_LOAD_WAIT_OBJECTIVES = 2

/** Longest wait for room at endpoints that must turn few requests away, as a fraction of the latency objective. */
export const MAX_ROOM_WAIT_FRACTION = 0.5

/** Largest fraction of the latency objective left to the engine, so that a few slow engines do not make every load request look too late. */
export const MAX_FIRST_BYTE_FRACTION = 0.25

/** How long the previous version of an adapter may be served after a newer one was announced, if no engine has loaded that yet. */
export const OLD_VERSION_GRACE_MS = 2_500

/** Version of an adapter for which none was announced. */
export const FIRST_VERSION = 1

/** Another replica of an adapter is requested, at most once per interval, when the cheapest engine that has it has this fraction of its slots in use. */
export const REPLICA_LOAD_FRACTION = 0.35
export const REPLICA_REQUEST_INTERVAL_MS = 1_000

/** Requests for one adapter that this host sends to another region before it requests another replica. */
export const REMOTE_REQUESTS_FOR_REPLICA = 5

/** Limit on the request bodies buffered at once. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024

/** How much longer than its caller waits the software version of a stream is remembered. */
export const ORIGIN_RETENTION_MARGIN_MS = 10_000

/** How often core hosts that know nothing of a stream are asked for its software version while its service ran in several: those that have just started may still learn it. */
export const ORIGIN_ROUNDS = 3

/** How long core hosts are asked by a host that knows of one version and may have a peer asked instead, and by one that knows of several. */
export const ORIGIN_WAIT_MS = 200
export const MIXED_ORIGIN_WAIT_MS = 1_000

/** The same for any other host, at most, and as a fraction of the time that the caller waits: an election takes 1.5 to 2.5 s. */
export const UNSURE_ORIGIN_WAIT_MS = 2_500
export const UNSURE_ORIGIN_WAIT_FRACTION = 0.4

/** Without a byte from any endpoint, trouble at this many of them means that the host itself may be cut off from all. */
export const CUT_OFF_ENDPOINTS = 2

/** Bytes that arrive sooner after a sign of trouble may have been on their way before it. */
export const CONFIRM_DELAY_MS = 50

/** Reports of trouble that wait until this host has heard from an endpoint; the oldest of more is dropped. */
export const MAX_HELD_REPORTS = 256

/** After a sign of trouble, endpoints are probed if none is heard from for this long. */
export const PROBE_DELAY_MS = 100

/** With trouble at this many endpoints within a second, and this share of a pool, the paths to the rest of the pool are in doubt. */
export const MIN_DOUBT_ENDPOINTS = 2
export const MIN_DOUBT_SHARE = 0.3

/** While paths are in doubt, connections to endpoints that were heard from longer ago are not used again. */
export const HEARD_RECENTLY_MS = 300

/** Probes of a host that is cut off: their interval, how many endpoints are asked at once, and how long each may take. */
export const PROBE_INTERVAL_MS = 500
export const PROBES_PER_ROUND = 2
export const PROBE_TIMEOUT_MS = 400

/** Endpoints that a host may fail to reach for one request before it asks a peer. */
export const MAX_UNREACHED_ENDPOINTS = 2

/** Within this long of the send of a replacement, the attempt that it replaces has gone on or is ended, so that no request occupies two endpoints for longer. */
export const MAX_OVERLAP_MS = 300

/** Interval at which a replacement is looked for again while an attempt is in doubt. */
export const REPLACEMENT_INTERVAL_MS = 500

/** Peers that are asked for one request at most. */
export const MAX_PEERS_PER_REQUEST = 3
/** A peer that declined or could not be reached gets no requests for this long, nor does one that sends no byte for `PEER_SILENCE_MS` while requests are in flight. */
export const PEER_PAUSE_MS = 1_000
export const PEER_SILENCE_MS = 1_500
export const MAX_PEER_CONNECTIONS = 128
/** Requests of other entry hosts that this one serves at once; it declines more. */
export const MAX_FORWARDED_REQUESTS = 256
