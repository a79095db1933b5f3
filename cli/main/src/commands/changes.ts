/** Reads settings nodes and submits settings changes, for the commands that change settings. */
import type { NodeChange, OperatorReply } from '@catkinferry/core.types'
import { getDeadlineMs } from '../commandContext.ts'
import type { CommandContext } from '../commandContext.ts'

/** A change whose expected revision may not be known yet. */
export type RequestedChange = Omit<NodeChange, 'expectedRevision'> & { readonly expectedRevision?: number }

interface NodeBody {
  readonly revision: number
  readonly exists: boolean
  readonly values: Readonly<Record<string, unknown>>
}

/** Reads one node from the leader. */
export async function readNode (context: CommandContext, path: string): Promise<{ readonly node: NodeBody } | { readonly failed: OperatorReply }> {
  const reply = await context.client.request({ kind: 'settings.get', path, effective: false, explain: false, fresh: true })
  return reply.ok ? { node: reply.body as NodeBody } : { failed: reply }
}

/** Submits changes. Expected revisions that the operator did not give are read first. */
export async function submitChanges (context: CommandContext, requested: readonly RequestedChange[]): Promise<OperatorReply> {
  const changes: NodeChange[] = []
  for (const change of requested) {
    const givenRevision = change.expectedRevision ?? context.flags.expect
    if (givenRevision !== undefined) {
      changes.push({ ...change, expectedRevision: givenRevision })
      continue
    }
    const read = await readNode(context, change.path)
    if ('failed' in read) return read.failed
    changes.push({ ...change, expectedRevision: read.node.revision })
  }
  const changeId = context.flags.changeId ?? context.createId()
  const reply = await context.client.request({ kind: 'settings.change', changeId, changes, dryRun: context.flags.dryRun === true, deadlineMs: getDeadlineMs(context) })
  if (reply.ok || reply.outcome !== 'unknown') return reply
  // A resend must expect the same revision, not one that another change has created since.
  const expectedRevision = changes.length === 1 ? changes[0]?.expectedRevision : undefined
  return { ...reply, body: { changeId, expectedRevision } }
}
