/** Timing and bounds of peer links. */

/** How often an open link is probed. */
export const PING_INTERVAL_MS = 500

/** A link that gave nothing for this long is destroyed and opened anew. */
export const SILENCE_MS = 2_000

/** A link that is not ready after this is given up. */
export const OPEN_TIMEOUT_MS = 2_000

/** Bounds of the pause before a link is opened again; doubled from one try to the next, with jitter. */
export const MIN_RETRY_MS = 100
export const MAX_RETRY_MS = 1_000

/** A link over which nothing was sent for this long is closed until it is needed. */
export const IDLE_LINK_MS = 60_000

/** Bytes that wait for a link, at most, of control messages and of bulk messages. */
export const MAX_CONTROL_QUEUE_BYTES = 16 * 1024 * 1024
export const MAX_BULK_QUEUE_BYTES = 4 * 1024 * 1024

/** Messages that waited longer are dropped: what they say is out of date. */
export const MAX_QUEUE_AGE_MS = 2_000

/** How often certificate files are looked at for changes. */
export const CERTIFICATE_CHECK_MS = 5_000

/** Links taken from peers at most. */
export const MAX_INCOMING_LINKS = 2_048

/** Largest frame before the other side has said who it is, in bytes. */
export const MAX_HELLO_BYTES = 4_096
