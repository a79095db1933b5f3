/** Creates the systems of a host, connects them by their views, and runs them. */
import { createRandom } from '@catkinferry/core.random'
import type { HostId } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { createRequests } from '@catkinferry/routing.requests'
import { createCommandClient, createLedgerClient } from '@catkinferry/settings.command-client'
import { createDissemination } from '@catkinferry/settings.dissemination'
import { createReplicatedState } from '@catkinferry/settings.replicated-state'
import { createZoneCoordination } from '@catkinferry/zone.coordination'
import { createVoter } from '@catkinferry/consensus.voter'
import type { RevisionDelta, StateMachine } from '@catkinferry/wire.messages'
import type { HostOptions } from './hostOptions.ts'
import { submitLeaseVoters } from './leaseVoterChange.ts'

/** Creates a separate generator for each system, so that the numbers drawn by one system don't affect another's. */
function createSystemRandom (opts: HostOptions, salt: number): ReturnType<typeof createRandom> {
  return createRandom(opts.seed * 31 + salt)
}

function listVoters (opts: HostOptions): HostId[] {
  return opts.peers.filter(peer => peer.voter).map(peer => peer.host)
}

/** Passes each committed revision to the dissemination in the same run. */
export function forwardCommitted (systems: Systems, context: RunContext): void {
  const { voting, dissemination } = systems
  if (voting === undefined) return
  for (const delta of voting.committed.splice(0)) dissemination.recordCommitted(delta, context)
}

/** Revision applied by each host, as far as reported to this voter. */
export interface SettingsStatus {
  readonly revision: number
  readonly hosts: ReadonlyArray<{ readonly host: HostId, readonly revision: number | undefined }>
}

function createVoterSystems (opts: HostOptions, describeSettings: () => SettingsStatus) {
  if (opts.stored === undefined) return undefined
  const state = createReplicatedState()
  const stateMachine: StateMachine = {
    ...state,
    answerQuery: query => query.kind === 'settingsStatus' ? describeSettings() : state.answerQuery(query)
  }
  const voter = createVoter({
    host: opts.self.host,
    group: opts.group,
    stored: opts.stored,
    stateMachine,
    initialVoters: listVoters(opts),
    random: createSystemRandom(opts, 1),
    compaction: opts.compaction,
    startedAt: opts.startedAt
  })
  const committed: RevisionDelta[] = []
  state.onRevision(delta => { committed.push(delta) })
  return { state, voter, committed }
}

/** Creates all systems of a host. `voting` is undefined on hosts that do not vote. */
export function createSystems (opts: HostOptions) {
  const describeSettings = (): SettingsStatus => {
    const applied = dissemination.getAppliedByHost()
    return {
      revision: dissemination.view.getRevision(),
      hosts: opts.peers.map(({ host }) => ({ host, revision: host === opts.self.host ? dissemination.view.getRevision() : applied.get(host) }))
    }
  }
  const voting = createVoterSystems(opts, describeSettings)
  const dissemination = createDissemination({
    self: opts.self,
    peers: opts.peers,
    voterState: voting?.state,
    isInContact: voting === undefined ? undefined : () => voting.voter.isInContact(),
    random: createSystemRandom(opts, 2)
  })
  const commands = createCommandClient({
    host: opts.self.host,
    voters: () => listVoters(opts),
    getOwnLeader: () => voting?.voter.getLeader(),
    random: createSystemRandom(opts, 3)
  })
  const ledger = createLedgerClient({ client: commands, host: opts.self.host })
  const zone = createZoneCoordination({
    self: opts.self,
    peers: opts.peers,
    fleetPath: opts.path,
    settings: dissemination.view,
    proposeLeaseVoters: (proposal, context) => { submitLeaseVoters({ self: opts.self, tree: dissemination.getTree(), commands, proposal }, context) },
    random: createSystemRandom(opts, 4)
  })
  const requests = createRequests({
    self: opts.self,
    fleetPath: opts.path,
    settings: dissemination.view,
    zone: zone.view,
    ledger,
    random: createSystemRandom(opts, 5)
  })
  return { voting, dissemination, commands, ledger, zone, requests }
}

export type Systems = ReturnType<typeof createSystems>

/** Runs every system once; each processes only what is dirty or due. */
export function runSystems (systems: Systems, context: RunContext): void {
  systems.voting?.voter.run(context)
  forwardCommitted(systems, context)
  systems.commands.run(context)
  systems.dissemination.run(context)
  systems.zone.run(context)
  systems.requests.run(context)
}

/** Time at which the next system is due. */
export function getNextDueAt (systems: Systems): number | undefined {
  const times = [
    systems.voting?.voter.getNextAt(),
    systems.commands.getNextAt(),
    systems.dissemination.getNextAt(),
    systems.zone.getNextAt(),
    systems.requests.getNextAt()
  ].filter(at => at !== undefined)
  return times.length === 0 ? undefined : Math.min(...times)
}
