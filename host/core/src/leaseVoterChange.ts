/** Submits the next set of lease voters of a zone, proposed by the lease holder, as a change of the zone's settings. */
import type { HostLocation, NodeChange, NodePath } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { CommandClient } from '@catkinferry/settings.command-client'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { LeaseVoterProposal } from '@catkinferry/zone.coordination'

const CHANGE_DEADLINE_MS = 5_000

/** Lists the ancestors of a node that don't exist yet, topmost first. */
function listMissingAncestors (tree: SettingsTree, path: NodePath): NodePath[] {
  const segments = path.split('/')
  const above = segments.slice(1).map((_, index) => segments.slice(0, index + 1).join('/'))
  return above.filter(ancestor => tree.getNode(ancestor) === undefined)
}

/** Submits the change. If it is refused or lost, the holder proposes it again at its next check. */
export function submitLeaseVoters (opts: {
  readonly self: HostLocation
  readonly tree: SettingsTree
  readonly commands: CommandClient
  readonly proposal: LeaseVoterProposal
}, context: RunContext): void {
  const { self, tree, commands, proposal } = opts
  const { path, key, value } = proposal
  const expectedRevision = tree.getNode(path)?.revision ?? 0
  const createdNodes: NodeChange[] = listMissingAncestors(tree, path).map(ancestor => ({ path: ancestor, expectedRevision: 0, values: {} }))
  commands.submit({
    command: {
      kind: 'settings.change',
      // A proposal based on another revision is a different change.
      changeId: `lease-voters/${self.host}/${path}/${value.number}/${expectedRevision}`,
      operator: { name: `host ${self.host}`, role: 'admin', from: self.host },
      changes: [...createdNodes, { path, expectedRevision, values: { [key]: value } }]
    },
    deadlineAt: context.now + CHANGE_DEADLINE_MS,
    onOutcome: (result, replyContext) => {
      replyContext.emit({ kind: 'log', level: 'info', message: 'a proposed change of lease voters has ended', fields: { step: 'lease voters', path, number: value.number, result: result.kind === 'outcome' ? result.outcome.kind : result.kind } })
    }
  }, context)
}
