/**
 * Checks the structure of consensus messages before the log machine handles them: a malformed one must neither end the process
 * nor leave the machine half changed. Called by the voter for each message of another voter.
 */
import type { ConsensusMessage } from '@catkinferry/wire.messages'
import * as z from 'zod'

const count = z.number().int().nonnegative()
const member = z.object({ host: z.string(), incarnation: z.string() })
const membership = z.object({ voters: z.array(member), learners: z.array(member) })
const payload = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('noop') }),
  z.object({ kind: z.literal('membership'), membership }),
  z.object({ kind: z.literal('commands'), proposedAt: z.number(), commands: z.array(z.object({ kind: z.string() })) })
])
const sender = { group: z.string(), incarnation: z.string(), term: count }
const position = { lastIndex: count, lastTerm: count }

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('consensus.preVote'), ...sender, ...position }),
  z.object({ kind: z.literal('consensus.preVoteAnswer'), ...sender, granted: z.boolean() }),
  z.object({ kind: z.literal('consensus.vote'), ...sender, ...position, transfer: z.boolean() }),
  z.object({ kind: z.literal('consensus.voteAnswer'), ...sender, granted: z.boolean() }),
  z.object({ kind: z.literal('consensus.append'), ...sender, previousIndex: count, previousTerm: count, entries: z.array(z.object({ index: count, term: count, payload })), commitIndex: count, readRound: count }),
  z.object({ kind: z.literal('consensus.appendAnswer'), ...sender, success: z.boolean(), matchIndex: count, readRound: count }),
  z.object({ kind: z.literal('consensus.snapshotChunk'), ...sender, ...position, membership, offset: count, totalBytes: count, data: z.instanceof(Uint8Array) }),
  z.object({ kind: z.literal('consensus.snapshotAnswer'), ...sender, lastIndex: count, nextOffset: count, done: z.boolean() }),
  z.object({ kind: z.literal('consensus.timeoutNow'), ...sender })
])

/** Returns what is wrong with a consensus message; undefined if nothing is. */
export function checkMessage (message: ConsensusMessage): string | undefined {
  const parsed = messageSchema.safeParse(message)
  return parsed.success ? undefined : parsed.error.issues.map(({ path, message: problem }) => `${path.join('.') || 'message'}: ${problem}`).join('; ')
}
