/** Node values in a form that costs little memory: common values are shared, long ones kept as JSON. */

/** Overrides of one node. */
export type NodeValues = Readonly<Record<string, unknown>>

/** `undefined` stands for no overrides. */
export type PackedValues = NodeValues | string | undefined

const EMPTY_VALUES: NodeValues = Object.freeze({})
const SHARED_LENGTH = 96
const MAX_SHARED = 4_096

const sharedValues = new Map<string, NodeValues>()

/** Sorts keys, so that equal values have equal JSON on every host. */
export function sortValues (values: NodeValues): NodeValues {
  const keys = Object.keys(values)
  const isSorted = keys.every((key, index) => index === 0 || keys[index - 1]! < key)
  if (isSorted) return values
  return Object.fromEntries(keys.sort().map(key => [key, values[key]]))
}

function shareValues (json: string, values: NodeValues): NodeValues {
  const shared = sharedValues.get(json)
  if (shared !== undefined) return shared
  const own = Object.freeze({ ...values })
  if (sharedValues.size < MAX_SHARED) sharedValues.set(json, own)
  return own
}

/** Packs values for storage. */
export function packValues (values: NodeValues): PackedValues {
  const sorted = sortValues(values)
  const json = JSON.stringify(sorted)
  if (json === '{}') return undefined
  return json.length <= SHARED_LENGTH ? shareValues(json, sorted) : json
}

/** Reads packed values. */
export function unpackValues (packed: PackedValues): NodeValues {
  if (packed === undefined) return EMPTY_VALUES
  return typeof packed === 'string' ? JSON.parse(packed) as NodeValues : packed
}

/** The JSON of packed values, keys sorted. */
export function formatPacked (packed: PackedValues): string {
  if (packed === undefined) return '{}'
  return typeof packed === 'string' ? packed : JSON.stringify(packed)
}
