/** Identifiers and time units. Identifiers are opaque strings, except where a format is given. */

export type HostId = string
export type ZoneId = string
export type RegionId = string
export type EndpointId = string
export type CallerId = string
export type ModelId = string
export type AdapterName = string
export type VersionName = string
/** `adapter@version`, the unit of residency. */
export type AdapterKey = string
export type RequestId = string
/** Unique for each dispatch of a request: `<requestId>.<n>`. */
export type AttemptId = string
export type OrderId = string
export type ChangeId = string
/** Idempotency key of a non-idempotent request. */
export type ClaimKey = string
/** What requests may have in common that crashes endpoints: the ID of a part of their prompts or, as `request:DIGEST`, all of the request. */
export type RequestTrait = string
/** Path in a settings tree, segments joined with `/`. */
export type NodePath = string

/** Milliseconds on the monotonic clock of one host. */
export type MonotonicMs = number
/** Milliseconds since the Unix epoch. */
export type WallMs = number
export type DurationMs = number

export function formatAdapterKey (adapter: AdapterName, version: VersionName): AdapterKey {
  return `${adapter}@${version}`
}

/** Splits `adapter@version`; the version is undefined when there is none. */
export function parseAdapterKey (key: string): { adapter: AdapterName, version: VersionName | undefined } {
  const at = key.lastIndexOf('@')
  if (at <= 0) return { adapter: key, version: undefined }
  return { adapter: key.slice(0, at), version: key.slice(at + 1) }
}

const WHOLE_REQUEST = 'request:'

/** Trait that only attempts at one and the same request have. IDs of prompt parts contain no colon. */
export function formatWholeRequest (digest: string): RequestTrait {
  return `${WHOLE_REQUEST}${digest}`
}

export function isWholeRequest (trait: RequestTrait): boolean {
  return trait.startsWith(WHOLE_REQUEST)
}

/** The digest of a trait that is a whole request. */
export function getRequestDigest (trait: RequestTrait): string {
  return trait.slice(WHOLE_REQUEST.length)
}

/** Key of a version of an adapter of one model, used in fleets: `model/adapter@version`. */
export function formatPlacedKey (model: ModelId, adapter: AdapterName, version: number): AdapterKey {
  return `${model}/${adapter}@${version}`
}
