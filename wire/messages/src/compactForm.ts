/** Compact encoding of the most frequent messages between hosts: a list of values in a fixed order in place of named fields. */
import type { PeerMessage } from './index.ts'

type CompactKind = 'grant.ask' | 'grant.given' | 'grant.refused' | 'grant.release' | 'grant.cancel' | 'owner.renew' | 'owner.assign'

/** Field names by kind. A kind's index in this table is its code on the wire, so new kinds and fields may only be appended. */
const FIELDS: readonly (readonly [CompactKind, readonly string[]])[] = [
  ['grant.ask', ['attemptId', 'endpoint', 'adapterKey', 'serviceClass', 'remainingMs', 'maxRunMs', 'pool', 'origin']],
  ['grant.given', ['attemptId', 'endpoint', 'fencing', 'heldMs', 'startWithinMs', 'loadStallMs', 'url']],
  ['grant.refused', ['attemptId', 'endpoint', 'reason', 'owner', 'retryAfterMs']],
  ['grant.release', ['attemptId', 'endpoint', 'ran', 'runMs']],
  ['grant.cancel', ['attemptId', 'endpoint']],
  ['owner.renew', ['zone', 'ballot', 'askId', 'epoch', 'viewSequence', 'highestFencing', 'leaving', 'holding', 'life']],
  ['owner.assign', ['zone', 'ballot', 'askId', 'subLeaseMs', 'epoch', 'viewSequence', 'endpoints']]
]

const CODES: ReadonlyMap<string, number> = new Map(FIELDS.map(([kind], code) => [kind, code]))

/** Returns the compact form of a message whose kind has one, and the message itself otherwise. */
export function encodeCompact (message: PeerMessage): unknown {
  const code = CODES.get(message.kind)
  const row = code === undefined ? undefined : FIELDS[code]
  if (row === undefined) return message
  const fields = message as unknown as Readonly<Record<string, unknown>>
  const values = row[1].map(name => fields[name] ?? null)
  while (values.at(-1) === null) values.pop()
  return [code, ...values]
}

/** Returns the message of a compact form, and other values unchanged; undefined for a list that is not a valid compact form. */
export function decodeCompact (value: unknown): unknown {
  if (!Array.isArray(value)) return value
  const [code, ...values] = value as readonly unknown[]
  const row = typeof code === 'number' ? FIELDS[code] : undefined
  if (row === undefined || values.length > row[1].length) return undefined
  const message: Record<string, unknown> = { kind: row[0] }
  for (const [index, name] of row[1].entries()) {
    const field = values[index] ?? undefined
    if (field !== undefined) message[name] = field
  }
  return message
}
