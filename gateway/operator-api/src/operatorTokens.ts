/**
 * Creates operator tokens, for the command line, and verifies them, for the operator API on each request. A token is
 * `name.secret`; secrets are stored as scrypt hashes in a file that is reloaded when it changes.
 */
import { createHash, randomBytes, scrypt, timingSafeEqual } from 'node:crypto'
import { readFile, stat } from 'node:fs/promises'
import type { OperatorRole } from '@catkinferry/core.types'
import * as z from 'zod'

export interface OperatorToken {
  readonly name: string
  readonly role: OperatorRole
  /** `scrypt:<salt>:<hash>`, both base64url. */
  readonly hash: string
}

export interface AuthenticatedOperator {
  readonly name: string
  readonly role: OperatorRole
}

export interface OperatorTokens {
  /** Resolves to undefined if the token is unknown; rejects if the token file cannot be read. */
  readonly authenticate: (token: string) => Promise<AuthenticatedOperator | undefined>
}

const SALT_BYTES = 16
const HASH_BYTES = 32
const SECRET_BYTES = 32
const SCRYPT_OPTIONS = { N: 16_384, r: 8, p: 1 } as const
/** Limit on verified tokens that are cached until the file changes. */
const MAX_CACHED_TOKENS = 1_024

const fileSchema = z.array(z.object({
  name: z.string().regex(/^[\w-]+$/),
  role: z.enum(['read', 'write', 'admin']),
  hash: z.string().regex(/^scrypt:[\w-]+:[\w-]+$/)
}))

async function computeHash (secret: string, salt: Buffer): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    scrypt(secret, salt, HASH_BYTES, SCRYPT_OPTIONS, (error, hash) => {
      if (error === null) resolve(hash)
      else reject(error)
    })
  })
}

/** Creates a token and its entry for the token file. */
export async function createOperatorToken (name: string, role: OperatorRole): Promise<{ readonly token: string, readonly entry: OperatorToken }> {
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const salt = randomBytes(SALT_BYTES)
  const hash = await computeHash(secret, salt)
  return { token: `${name}.${secret}`, entry: { name, role, hash: `scrypt:${salt.toString('base64url')}:${hash.toString('base64url')}` } }
}

async function verifySecret (secret: string, hash: string): Promise<boolean> {
  const [, salt = '', expected = ''] = hash.split(':')
  const computed = await computeHash(secret, Buffer.from(salt, 'base64url'))
  const expectedHash = Buffer.from(expected, 'base64url')
  return expectedHash.length === computed.length && timingSafeEqual(expectedHash, computed)
}

/** Creates the authentication against a token file. All entries of one name are valid, so that a token can be rotated without a gap. */
export function createOperatorTokens (file: string): OperatorTokens {
  let fileVersion = ''
  let entries: readonly OperatorToken[] = []
  const verifiedTokens = new Map<string, AuthenticatedOperator>()

  async function reloadIfChanged (): Promise<void> {
    const { mtimeMs, size, ino } = await stat(file)
    const currentVersion = `${mtimeMs}:${size}:${ino}`
    if (currentVersion === fileVersion) return
    entries = fileSchema.parse(JSON.parse(await readFile(file, 'utf8')))
    fileVersion = currentVersion
    verifiedTokens.clear()
  }

  return {
    authenticate: async token => {
      await reloadIfChanged()
      const digest = createHash('sha256').update(token).digest('base64url')
      const cached = verifiedTokens.get(digest)
      if (cached !== undefined) return cached
      const dot = token.indexOf('.')
      const name = token.slice(0, Math.max(0, dot))
      const checkedVersion = fileVersion
      for (const entry of entries.filter(candidate => candidate.name === name)) {
        if (!await verifySecret(token.slice(dot + 1), entry.hash)) continue
        const operator = { name, role: entry.role }
        if (verifiedTokens.size < MAX_CACHED_TOKENS && checkedVersion === fileVersion) verifiedTokens.set(digest, operator)
        return operator
      }
      return undefined
    }
  }
}
