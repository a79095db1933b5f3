/**
 * Checks the structure of a command before it is proposed: once committed, every voter must be able to apply it, after each
 * restart too. The voter calls it for each submission.
 */
import type { Command } from '@catkinferry/wire.messages'
import * as z from 'zod'
import { unpackRoutes } from './packedRoutes.ts'

/** Longest ID of a prompt part, in characters. */
const MAX_PART_LENGTH = 64

const operator = z.object({ name: z.string(), role: z.string(), from: z.string() })
const change = z.object({ path: z.string(), expectedRevision: z.number(), values: z.record(z.string(), z.unknown()).optional() })
const failure = z.object({ code: z.string(), message: z.string(), step: z.string() })
const answer = z.object({ status: z.number(), contentType: z.string().optional(), body: z.string().optional() })
const outcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done'), answer: answer.optional() }),
  z.object({ kind: z.literal('notRun'), reason: z.string() }),
  z.object({ kind: z.literal('unknown'), reason: z.string() })
])
const table = z.object({ version: z.number(), routes: z.array(z.object({ name: z.string() })), pools: z.array(z.object({ name: z.string() })), limits: z.object({}), accounts: z.array(z.object({ name: z.string(), keyDigests: z.array(z.string()) })).optional() })

const commandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('settings.change'), changeId: z.string(), operator, changes: z.array(change) }),
  z.object({ kind: z.literal('audit.refused'), changeId: z.string(), operator, changes: z.array(change), failure }),
  z.object({ kind: z.literal('claim.take'), claimKey: z.string(), attemptId: z.string(), host: z.string(), keyCreatedAt: z.number(), fingerprint: z.string() }),
  z.object({ kind: z.literal('claim.finish'), claimKey: z.string(), attemptId: z.string(), outcome }),
  z.object({ kind: z.literal('claim.resolve'), changeId: z.string(), operator, claimKey: z.string(), resolution: z.enum(['done', 'notRun']), note: z.string() }),
  z.object({ kind: z.literal('routes.replace'), table, document: z.string() }),
  z.object({ kind: z.literal('routes.replacePacked'), version: z.number(), packed: z.instanceof(Uint8Array) }),
  z.object({ kind: z.literal('adapter.announce'), model: z.string(), adapter: z.string(), version: z.number() }),
  z.object({ kind: z.literal('prompt.quarantine'), part: z.string().min(1).max(MAX_PART_LENGTH) }),
  z.object({ kind: z.literal('prompt.release'), part: z.string().min(1).max(MAX_PART_LENGTH) }),
  z.object({ kind: z.literal('endpoint.fact'), endpoint: z.string(), checksFencing: z.boolean() }),
  z.object({ kind: z.literal('service.versions'), pool: z.string(), versions: z.array(z.string()) })
])

function checkPacked (command: Extract<Command, { kind: 'routes.replacePacked' }>): string | undefined {
  try {
    const unpacked = unpackRoutes(command)
    return checkCommand({ kind: 'routes.replace', ...unpacked })
  } catch {
    // The message of the JSON parser would quote the configuration, which contains keys.
    return 'packed: the bytes are no packed configuration'
  }
}

/** Returns what is wrong with a command; undefined if nothing is. */
export function checkCommand (command: Command): string | undefined {
  const parsed = commandSchema.safeParse(command)
  if (parsed.success && command.kind === 'routes.replacePacked') return checkPacked(command)
  return parsed.success ? undefined : parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'command'}: ${message}`).join('; ')
}
