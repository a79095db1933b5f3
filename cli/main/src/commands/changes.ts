/** Settings changes as commands make them. */
import type { NodeChange, OperatorReply } from '@catkinferry/core.types'
import { getDeadlineMs } from '../commandContext.ts'
import type { CommandContext } from '../commandContext.ts'

/** A change whose expected revision is still to be read. */
export type WantedChange = Omit<NodeChange, 'expectedRevision'> & { readonly expectedRevision?: number }

interface NodeBody {
  readonly revision: number
  readonly exists: boolean
  readonly values: Readonly<Record<string, unknown>>
}

/** Reads one node from the leader. */
export async function readNode (context: CommandContext, path: string): Promise<{ readonly node: NodeBody } | { readonly failed: OperatorReply }> {
  const reply = await context.client.ask({ kind: 'settings.get', path, effective: false, explain: false, fresh: true })
  return reply.ok ? { node: reply.body as NodeBody } : { failed: reply }
}

/** Submits changes; revisions that the operator did not give are read first. */
export async function submitChanges (context: CommandContext, wanted: readonly WantedChange[]): Promise<OperatorReply> {
  const changes: NodeChange[] = []
  for (const change of wanted) {
    const given = change.expectedRevision ?? context.flags.expect
    if (given !== undefined) {
      changes.push({ ...change, expectedRevision: given })
      continue
    }
    const read = await readNode(context, change.path)
    if ('failed' in read) return read.failed
    changes.push({ ...change, expectedRevision: read.node.revision })
  }
  const changeId = context.flags.changeId ?? context.createId()
  const reply = await context.client.ask({ kind: 'settings.change', changeId, changes, dryRun: context.flags.dryRun === true, deadlineMs: getDeadlineMs(context) })
  if (reply.ok || reply.outcome !== 'unknown') return reply
  // A resend must not expect a revision that somebody else made meanwhile.
  const expectedRevision = changes.length === 1 ? changes[0]?.expectedRevision : undefined
  return { ...reply, body: { changeId, expectedRevision } }
}
