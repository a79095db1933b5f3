/** Commits a zone's next set of lease voters as a change of its settings, proposed by the lease holder. */
import type { HostPlace, NodeChange, NodePath } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { CommandClient } from '@catkinferry/settings.command-client'
import type { SettingsTree } from '@catkinferry/settings.tree'
import type { LeaseVoterProposal } from '@catkinferry/zone.coordination'

const DEADLINE_MS = 5_000

/** The nodes above a path that don't exist yet, topmost first. */
function listMissingAncestors (tree: SettingsTree, path: NodePath): NodePath[] {
  const segments = path.split('/')
  const above = segments.slice(1).map((_, index) => segments.slice(0, index + 1).join('/'))
  return above.filter(ancestor => tree.getNode(ancestor) === undefined)
}

/** Submits the change. One that is refused or lost is proposed again by the holder when it next checks. */
export function submitLeaseVoters (opts: {
  readonly self: HostPlace
  readonly tree: SettingsTree
  readonly commands: CommandClient
  readonly proposal: LeaseVoterProposal
}, context: RunContext): void {
  const { self, tree, commands, proposal } = opts
  const { path, key, value } = proposal
  const expectedRevision = tree.getNode(path)?.revision ?? 0
  const created: NodeChange[] = listMissingAncestors(tree, path).map(ancestor => ({ path: ancestor, expectedRevision: 0, values: {} }))
  commands.submit({
    command: {
      kind: 'settings.change',
      // A proposal over another revision is another change.
      changeId: `lease-voters/${self.host}/${path}/${value.number}/${expectedRevision}`,
      operator: { name: `host ${self.host}`, role: 'admin', from: self.host },
      changes: [...created, { path, expectedRevision, values: { [key]: value } }]
    },
    deadlineAt: context.now + DEADLINE_MS,
    onOutcome: (result, answeredIn) => {
      answeredIn.emit({ kind: 'log', level: 'info', message: 'a change of lease voters was proposed', fields: { step: 'lease voters', path, number: value.number, result: result.kind === 'outcome' ? result.outcome.kind : result.kind } })
    }
  }, context)
}
