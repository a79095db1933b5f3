/** Packs the values of settings nodes to save memory. Equal short values share one object; long values become a shared JSON template and a binary digest. */
import type { AdapterName } from '@catkinferry/core.types'

/** Overrides of one node. */
export type NodeValues = Readonly<Record<string, unknown>>

/** An object for short values, JSON text or a template for long ones; `undefined` means no overrides. */
export type ValuesOrTemplate = NodeValues | string | undefined

/** Length of the digest that is cut out of a template, in bytes. */
export const DIGEST_BYTES = 32

const EMPTY_VALUES: NodeValues = Object.freeze({})
/** Longest JSON of values that are stored as an object, in characters. */
const MAX_OBJECT_JSON_LENGTH = 96
/** Maximum number of shared values, and of shared templates; when it is reached, further ones are stored per node. */
const MAX_SHARED_ENTRIES = 4_096
const DIGEST_PATTERN = /[0-9a-f]{64}/

/** Markers in a template for the node's name, its parent's name and a digest. JSON text never contains these characters unescaped. */
const NAME_MARKER = '\u0001'
const PARENT_MARKER = '\u0002'
export const DIGEST_MARKER = '\u0003'
// eslint-disable-next-line no-control-regex
const MARKER_PATTERN = /[\u0001-\u0003]/g

const sharedValues = new Map<string, NodeValues>()
const sharedTemplates = new Map<string, string>()

/** Names that replace the markers in a node's template. */
export interface TemplateNames {
  readonly name: string
  readonly parent: AdapterName
}

export interface Packed {
  readonly values: ValuesOrTemplate
  readonly digest?: Uint8Array
}

/** Sorts the keys, so that equal values have equal JSON on every host. */
export function sortValues (values: NodeValues): NodeValues {
  const keys = Object.keys(values)
  const isSorted = keys.every((key, index) => index === 0 || keys[index - 1]! < key)
  if (isSorted) return values
  return Object.fromEntries(keys.sort().map(key => [key, values[key]]))
}

function shareValues (json: string, values: NodeValues): NodeValues {
  const shared = sharedValues.get(json)
  if (shared !== undefined) return shared
  const frozen = Object.freeze({ ...values })
  if (sharedValues.size < MAX_SHARED_ENTRIES) sharedValues.set(json, frozen)
  return frozen
}

function shareTemplate (template: string): string {
  const shared = sharedTemplates.get(template)
  if (shared !== undefined) return shared
  const copied = Buffer.from(template).toString()
  if (sharedTemplates.size < MAX_SHARED_ENTRIES) sharedTemplates.set(copied, copied)
  return copied
}

/** Packs JSON text into a template and a digest. */
export function packJson (json: string, names: TemplateNames): { template: string, digest?: Uint8Array } {
  const digest = DIGEST_PATTERN.exec(json)?.[0]
  const withoutDigest = digest === undefined ? json : json.replace(digest, DIGEST_MARKER)
  const template = withoutDigest.replaceAll(names.parent, PARENT_MARKER).replaceAll(names.name, NAME_MARKER)
  return { template: shareTemplate(template), digest: digest === undefined ? undefined : Buffer.from(digest, 'hex') }
}

export function packValues (values: NodeValues, names: TemplateNames): Packed {
  const sorted = sortValues(values)
  const json = JSON.stringify(sorted)
  if (json === '{}') return { values: undefined }
  if (json.length <= MAX_OBJECT_JSON_LENGTH) return { values: shareValues(json, sorted) }
  const { template, digest } = packJson(json, names)
  return { values: template, digest }
}

/** Rebuilds packed values from their template or JSON text. */
export function restorePacked (template: string, digest?: Uint8Array): Packed {
  if (template === '{}') return { values: undefined }
  const isPlainJson = template.search(MARKER_PATTERN) < 0
  if (!isPlainJson || template.length > MAX_OBJECT_JSON_LENGTH) return { values: shareTemplate(template), digest }
  return { values: sharedValues.get(template) ?? shareValues(template, JSON.parse(template) as NodeValues) }
}

/** Formats packed values as JSON, keys sorted. */
export function formatPacked (packed: Packed, names: TemplateNames): string {
  const { values, digest } = packed
  if (values === undefined) return '{}'
  if (typeof values !== 'string') return JSON.stringify(values)
  return values.replace(MARKER_PATTERN, marker => {
    if (marker === NAME_MARKER) return names.name
    return marker === PARENT_MARKER ? names.parent : Buffer.from(digest!).toString('hex')
  })
}

/** Returns false only if the values certainly lack the key, which avoids unpacking them. */
export function mayHaveKey (values: ValuesOrTemplate, key: string, names: TemplateNames): boolean {
  if (values === undefined) return false
  if (typeof values !== 'string') return Object.hasOwn(values, key)
  // A marker may replace a part of the key itself.
  return values.includes(`"${key}":`) || key.includes(names.name) || key.includes(names.parent)
}

export function unpackValues (packed: Packed, names: TemplateNames): NodeValues {
  const { values } = packed
  if (values === undefined) return EMPTY_VALUES
  return typeof values === 'string' ? JSON.parse(formatPacked(packed, names)) as NodeValues : values
}
