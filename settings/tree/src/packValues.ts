/** Node values in a form that costs little memory: equal values are shared, and long ones are split into a shared template and a digest. */
import type { AdapterName } from '@catkinferry/core.types'

/** Overrides of one node. */
export type NodeValues = Readonly<Record<string, unknown>>

/** Short values as an object, long ones as JSON text or a template; `undefined` stands for no overrides. */
export type PackedValues = NodeValues | string | undefined

/** Bytes of the digest that a template leaves out. */
export const DIGEST_BYTES = 32

const EMPTY_VALUES: NodeValues = Object.freeze({})
const SHARED_LENGTH = 96
const MAX_SHARED = 4_096
const DIGEST_PATTERN = /[0-9a-f]{64}/

/** Marks in a template for the node's name, its parent's and a digest. JSON never holds these characters as they are. */
const NAME_MARK = '\u0001'
const PARENT_MARK = '\u0002'
export const DIGEST_MARK = '\u0003'
// eslint-disable-next-line no-control-regex
const MARKS = /[\u0001-\u0003]/g

const sharedValues = new Map<string, NodeValues>()
const sharedTemplates = new Map<string, string>()

/** What stands behind the marks of a node's template. */
export interface TemplateNames {
  readonly name: string
  readonly parent: AdapterName
}

export interface Packed {
  readonly values: PackedValues
  readonly digest?: Uint8Array
}

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

function shareTemplate (template: string): string {
  const shared = sharedTemplates.get(template)
  if (shared !== undefined) return shared
  const own = Buffer.from(template).toString()
  if (sharedTemplates.size < MAX_SHARED) sharedTemplates.set(own, own)
  return own
}

/** Packs JSON text into a template and a digest. */
export function packJson (json: string, names: TemplateNames): { template: string, digest?: Uint8Array } {
  const digest = DIGEST_PATTERN.exec(json)?.[0]
  const withoutDigest = digest === undefined ? json : json.replace(digest, DIGEST_MARK)
  const template = withoutDigest.replaceAll(names.parent, PARENT_MARK).replaceAll(names.name, NAME_MARK)
  return { template: shareTemplate(template), digest: digest === undefined ? undefined : Buffer.from(digest, 'hex') }
}

/** Packs values for storage. */
export function packValues (values: NodeValues, names: TemplateNames): Packed {
  const sorted = sortValues(values)
  const json = JSON.stringify(sorted)
  if (json === '{}') return { values: undefined }
  if (json.length <= SHARED_LENGTH) return { values: shareValues(json, sorted) }
  const { template, digest } = packJson(json, names)
  return { values: template, digest }
}

/** Rebuilds packed values from their template or JSON text. */
export function restorePacked (template: string, digest?: Uint8Array): Packed {
  if (template === '{}') return { values: undefined }
  const isWhole = template.search(MARKS) < 0
  if (!isWhole || template.length > SHARED_LENGTH) return { values: shareTemplate(template), digest }
  return { values: sharedValues.get(template) ?? shareValues(template, JSON.parse(template) as NodeValues) }
}

/** The JSON of packed values, keys sorted. */
export function formatPacked (packed: Packed, names: TemplateNames): string {
  const { values, digest } = packed
  if (values === undefined) return '{}'
  if (typeof values !== 'string') return JSON.stringify(values)
  return values.replace(MARKS, mark => {
    if (mark === NAME_MARK) return names.name
    return mark === PARENT_MARK ? names.parent : Buffer.from(digest!).toString('hex')
  })
}

/** False only where the values do not have the key: spares reading them. */
export function mayHaveKey (values: PackedValues, key: string, names: TemplateNames): boolean {
  if (values === undefined) return false
  if (typeof values !== 'string') return Object.hasOwn(values, key)
  // A mark may stand for a part of the key itself.
  return values.includes(`"${key}":`) || key.includes(names.name) || key.includes(names.parent)
}

/** Reads packed values. */
export function unpackValues (packed: Packed, names: TemplateNames): NodeValues {
  const { values } = packed
  if (values === undefined) return EMPTY_VALUES
  return typeof values === 'string' ? JSON.parse(formatPacked(packed, names)) as NodeValues : values
}
