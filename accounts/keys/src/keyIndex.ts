/**
 * Finds the account of a key for each request. Only digests of keys are held: the memory of a host contains no usable key, and the
 * duration of a lookup depends on the digest, which tells nothing about how much of a guessed key is correct.
 */
import { hash } from 'node:crypto'
import type { Account } from '@catkinferry/core.types'

const ASCII = /^[ -~]*$/

/** SHA-256 of a key of the configuration, in lower-case hexadecimal. */
export function hashKey (key: string): string {
  return hash('sha256', key, 'hex')
}

/**
 * Hashes the value of a header, in which each character stands for one byte as received. Characters that do not fit a byte
 * cannot come from a header; undefined for these.
 */
function hashHeader (value: string): string | undefined {
  if (ASCII.test(value)) return hashKey(value)
  const bytes = Buffer.from(value, 'latin1')
  return bytes.toString('latin1') === value ? hash('sha256', bytes, 'hex') : undefined
}

export type KeyOwner = Pick<Account, 'keyDigests'>

export interface KeyIndex<Owner extends KeyOwner = Account> {
  /** `key` is the value of a header as received. Undefined if it is missing, empty or unknown. */
  readonly find: (key: string | undefined) => Owner | undefined
}

/** Builds the index of one list of accounts. */
export function createKeyIndex<Owner extends KeyOwner = Account> (owners: readonly Owner[]): KeyIndex<Owner> {
  const ownersByDigest = new Map(owners.flatMap(owner => owner.keyDigests.map(digest => [digest, owner] as const)))
  return {
    find: key => {
      if (key === undefined || key === '') return undefined
      const digest = hashHeader(key)
      return digest === undefined ? undefined : ownersByDigest.get(digest)
    }
  }
}
