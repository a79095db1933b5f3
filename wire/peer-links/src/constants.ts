/** Time limits and size limits of peer links. */

/** Interval between the pings on an open link. */
export const PING_INTERVAL_MS = 500

/** A link on which nothing was received for this long is destroyed and reopened. */
export const SILENCE_TIMEOUT_MS = 2_000

/** Time limit for connecting and exchanging hellos. */
export const OPEN_TIMEOUT_MS = 2_000

/** Bounds of the delay before a link is reopened; the delay doubles with each failed attempt and has jitter. */
export const MIN_RETRY_DELAY_MS = 100
export const MAX_RETRY_DELAY_MS = 1_000

/** A link over which nothing was sent for this long is closed until it is needed. */
export const LINK_IDLE_TIMEOUT_MS = 60_000

/** Maximum queued bytes of one link, for control messages and for bulk messages. */
export const MAX_CONTROL_QUEUE_BYTES = 16 * 1024 * 1024
export const MAX_BULK_QUEUE_BYTES = 4 * 1024 * 1024

/** Messages queued for longer are dropped, because their contents are out of date. */
export const MAX_QUEUE_AGE_MS = 2_000

/** Interval between the checks of the certificate files for changes. */
export const CERTIFICATE_CHECK_MS = 5_000

/** Maximum number of open incoming links; further connections are closed at once. */
export const MAX_INCOMING_LINKS = 2_048

/** Largest frame accepted before the peer has identified itself with a hello. */
export const MAX_HELLO_BYTES = 4_096
