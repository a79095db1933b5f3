/** The identity of a data folder, checked in each of its files. */
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

/** Checks format and owner of a file. Throws `FOREIGN_DATA_FOLDER` naming both owners, or `DAMAGED_FILE`. */
export function checkOwner (file: string, value: unknown, expected: ExpectedOwner): Identity {
  if (!isIdentity(value)) throw createDamagedError(file, 0, 'it does not say whose file it is')
  if (value.format !== FORMAT_VERSION) throw createDamagedError(file, 0, `format version ${value.format} is not known, only ${FORMAT_VERSION} is`)
  if (value.host === expected.host && value.group === expected.group) return value
  throw new CatkinferryError({
    code: ErrorCode.FOREIGN_DATA_FOLDER,
    message: `'${file}' belongs to host '${value.host}' of group '${value.group}', not to host '${expected.host}' of group '${expected.group}'`,
    step: 'openDataFolder',
    peer: value.host,
    hint: 'Check the data folder in the settings file; each voter needs one of its own.'
  })
}

/** Checks that a file is of the same data folder as the identity file. */
export function checkSameFolder (file: string, value: unknown, identity: Identity): void {
  const { incarnation } = checkOwner(file, value, identity)
  if (incarnation !== identity.incarnation) throw createDamagedError(file, 0, 'it was copied from another data folder')
}
