/** Parses `Retry-After` of an endpoint's response (RFC 9110, section 10.2.3, with fractions of seconds). */
import type { DurationMs } from '@catkinferry/core.types'

const MS_PER_SECOND = 1_000
/** Digits before and after the decimal point are bounded, so that every accepted value is an exact number. */
const DELAY_SECONDS = /^\d{1,9}(\.\d{1,9})?$/

/** Returns the delay in milliseconds; undefined for a date or an invalid value. */
export function parseRetryAfter (value: string): DurationMs | undefined {
  const text = value.trim()
  return DELAY_SECONDS.test(text) ? Number(text) * MS_PER_SECOND : undefined
}
