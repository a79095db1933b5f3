/** Estimates the encoded size of plain data, for size limits on batches and pending commands. */

/** Estimate for a number, a boolean, or an object without its fields. */
const SCALAR_BYTES = 9

/** Estimates the bytes of a value within about a factor of two, without encoding it. */
export function estimateBytes (value: unknown): number {
  if (typeof value === 'string') return value.length + 3
  if (typeof value !== 'object' || value === null) return SCALAR_BYTES
  if (value instanceof Uint8Array) return value.byteLength + 5
  let bytes = SCALAR_BYTES
  for (const [key, inner] of Object.entries(value)) bytes += key.length + 1 + estimateBytes(inner)
  return bytes
}
