/** Checks, when a data folder is opened, that each of its files belongs to this host, group and folder. */
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import { createDamagedError } from './blocks.ts'
import { FORMAT_VERSION } from './formats.ts'
import type { Identity } from './formats.ts'

export interface ExpectedOwner {
  readonly host: string
  readonly group: string
}

function isIdentity (value: unknown): value is Identity {
  if (typeof value !== 'object' || value === null) return false
  const { format, group, host, incarnation } = value as Partial<Identity>
  return typeof format === 'number' && typeof group === 'string' && typeof host === 'string' && typeof incarnation === 'string'
}

/** Checks the format version and owner of a file. Throws `FOREIGN_DATA_FOLDER`, naming both owners, or `DAMAGED_FILE`. */
export function checkOwner (file: string, value: unknown, expected: ExpectedOwner): Identity {
  if (!isIdentity(value)) throw createDamagedError(file, 0, 'the header does not identify the owner of the file')
  if (value.format !== FORMAT_VERSION) throw createDamagedError(file, 0, `unsupported format version ${value.format}, expected ${FORMAT_VERSION}`)
  if (value.host === expected.host && value.group === expected.group) return value
  throw new CatkinferryError({
    code: ErrorCode.FOREIGN_DATA_FOLDER,
    message: `'${file}' belongs to host '${value.host}' of group '${value.group}', not to host '${expected.host}' of group '${expected.group}'`,
    step: 'openDataFolder',
    peer: value.host,
    hint: 'Check the data folder in the settings file; each voter needs one of its own.'
  })
}

/** Checks that a file belongs to the same data folder as the identity file. */
export function checkSameFolder (file: string, value: unknown, identity: Identity): void {
  const { incarnation } = checkOwner(file, value, identity)
  if (incarnation !== identity.incarnation) throw createDamagedError(file, 0, 'the file was copied from another data folder')
}
