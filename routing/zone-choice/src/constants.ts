/** Thresholds, prices and step sizes of the choice between zones. */
import type { DurationMs } from '@catkinferry/core.types'

/** Cost of another zone and of another region where shares are not planned. */
export const OTHER_ZONE_COST_MS: DurationMs = 3
export const OTHER_REGION_COST_MS: DurationMs = 60

/** Figures older than this say nothing of the present load: requests run for 0.4 to 1 s. */
export const MAX_FIGURES_AGE_MS: DurationMs = 2_000

/** Shares are planned once a zone has this fraction of its slots in use, until all zones are below the second. */
export const PLAN_ABOVE_UTILISATION = 0.95
export const PLAN_UNTIL_UTILISATION = 0.8

/** A zone receives more requests below the first fraction of slots in use, and none at all from the second until it is below the first again. */
export const RECEIVE_UNTIL_UTILISATION = 0.85
export const FULL_UTILISATION = 0.95

/** Requests begin to wait at this fraction of a zone's slots, since its endpoints are not evenly loaded. */
export const WAIT_FROM_UTILISATION = 0.8

/** Round trip: zones are 0.5 to 0.9 ms apart, regions 8 ms. */
export const ZONE_ROUND_TRIP_MS: DurationMs = 2
export const REGION_ROUND_TRIP_MS: DurationMs = 16

/** Prices per GB between zones and between regions, and of a machine for a second (requirements page, section 3). */
const ZONE_PRICE_PER_GB = 2_300
const REGION_PRICE_PER_GB = 9_100
const MACHINE_PRICE_PER_SECOND = 0.14
const KILOBYTES_PER_GB = 1_000_000
const MS_PER_SECOND = 1_000
export const BYTES_PER_KILOBYTE = 1_000

/**
 * A millisecond that a caller waits counts as this many of a machine. At the price alone (16 and 65 ms per KB), a usual request of
 * 18 KB would wait 0.3 s rather than leave its zone and 1.2 s rather than leave its region, beyond the latency objectives of 0.4 to 1 s.
 */
const MACHINE_MS_PER_CALLER_MS = 10
export const ZONE_PRICE_MS_PER_KILOBYTE = ZONE_PRICE_PER_GB / KILOBYTES_PER_GB / MACHINE_PRICE_PER_SECOND * MS_PER_SECOND / MACHINE_MS_PER_CALLER_MS
export const REGION_PRICE_MS_PER_KILOBYTE = REGION_PRICE_PER_GB / KILOBYTES_PER_GB / MACHINE_PRICE_PER_SECOND * MS_PER_SECOND / MACHINE_MS_PER_CALLER_MS

/** A request waits no longer than this fraction of its latency objective to save the price of its bytes. */
export const MAX_PRICE_FRACTION = 0.4

/** Capacity of the link between two regions in each direction, for all traffic: 42 Mbit/s. */
export const REGION_LINK_BYTES_PER_SECOND = 42_000_000 / 8
/** Fraction of the link for requests; the rest is for control traffic, and for bursts that the mean over a second hides. */
export const USABLE_LINK_FRACTION = 0.7
export const LINK_MS_PER_KILOBYTE = BYTES_PER_KILOBYTE / REGION_LINK_BYTES_PER_SECOND * MS_PER_SECOND

/** A share grows while leaving saves more than the first, and falls while it saves less than the second. */
export const START_MARGIN_MS: DurationMs = 40
export const STOP_MARGIN_MS: DurationMs = 10

/**
 * Shares change in steps at this interval. A step has its effect after the age of the figures (0.2 to 0.8 s) and a run time, so
 * that about five steps are taken before the first shows: each takes a fifth of the spare capacity, and half of the excess at most.
 */
export const STEP_INTERVAL_MS: DurationMs = 250
export const MAX_STEP = 0.1
export const SPARE_FRACTION_PER_STEP = 0.2
export const EXCESS_FRACTION_PER_STEP = 0.5
/** Fraction of a share that is left after a step, at least, if leaving is not worthwhile any more, and if its zone is full. */
export const STEP_DOWN_FACTOR = 0.75
export const FULL_STEP_DOWN_FACTOR = 0.5
/** Smaller shares are dropped. */
export const MIN_SHARE = 0.002
export const MAX_SHARE = 0.9

/** Steps that a host takes at once if it had no request for longer than the interval. */
export const MAX_STEPS_AT_ONCE = 4

/**
 * Cost added to the transfer cost for a request that is not selected to leave its zone. This is the tightest
 * latency objective: a request that would be late in its own zone, such as after the loss of endpoints, leaves at once.
 */
export const HELD_COST_MS: DurationMs = 400
/** Cost of a zone that has no spare capacity, and of a region with no room on the link to it: above any wait in the own zone, below an open circuit breaker. */
export const NO_SPARE_COST_MS: DurationMs = 20_000

/** Weight of a request in the mean share of requests that leave, by which shares begin. */
export const SENT_SMOOTHING_FACTOR = 0.05
