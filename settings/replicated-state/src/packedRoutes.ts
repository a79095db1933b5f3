/**
 * Compact form of a large route configuration in the replicated log: each change sends the whole configuration to every voter,
 * over links between regions too.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { Command } from '@catkinferry/wire.messages'
import type { StoredRoutes } from './routeVersions.ts'

type PackedReplace = Extract<Command, { kind: 'routes.replacePacked' }>

/** Configurations whose document is shorter than this are not packed. */
const MIN_PACKED_CHARACTERS = 32 * 1024
/** Fastest level: packing is done on the path of an operator's call. */
const DEFLATE_LEVEL = 1
/** Largest unpacked configuration that is accepted. */
const MAX_UNPACKED_BYTES = 128 * 1024 * 1024

/** Returns the command in the form in which it is proposed. */
export function packCommand (command: Command): Command {
  if (command.kind !== 'routes.replace' || command.document.length < MIN_PACKED_CHARACTERS) return command
  const { table, document } = command
  return { kind: 'routes.replacePacked', version: table.version, packed: deflateRawSync(JSON.stringify({ table, document }), { level: DEFLATE_LEVEL }) }
}

/** Throws if the bytes are no packed configuration. */
export function unpackRoutes ({ packed }: PackedReplace): StoredRoutes {
  return JSON.parse(inflateRawSync(packed, { maxOutputLength: MAX_UNPACKED_BYTES }).toString()) as StoredRoutes
}
