import { createRandom } from '@catkinferry/core.random'
import { createOutbox } from '@catkinferry/host.core'
import type { RunContext } from '@catkinferry/host.events'
import { packCommand } from '@catkinferry/settings.replicated-state'
import { buildTable } from '@catkinferry/testing.fleet'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createCoreSystems } from '../src/coreSystems.ts'
import type { FleetSettings } from '../src/fleetSettings.ts'

const SELF = '127.0.0.1:7380'
const SETTINGS = { name: 'core-0', host: SELF, zone: 'z', region: 'r', regionsByZone: new Map([['z', 'r']]), bootstrap: true, toleratedDiskLosses: 0, times: { handOverMs: 0, graceMs: 1_000, listLagMs: 0 } } as unknown as FleetSettings
const STEP_MS = 20
/** Large enough that no two commands are applied in one run. */
const DOCUMENT_WORDS = 12_000

/** Guards against a leader that drops all that it knows of engines, and orders nothing for a second, since it has more to apply than one run takes. */
describe('a leader that has more committed commands than it applies in one run', () => {
  it('goes on to place adapters', () => {
    const systems = createCoreSystems({ settings: SETTINGS, getSeeds: () => [SELF], stored: { group: 'fleet', incarnation: 'a#1', hardState: { term: 0 }, entries: [] }, seed: 1, startedAt: 0, sendOrder: () => undefined, pollList: () => undefined })
    const terms: Array<number | undefined> = []
    const random = createRandom(1)
    let now = 0
    const runOnce = (act: (context: RunContext) => void = () => undefined): void => {
      now += STEP_MS
      const { context, outputs, takeLoopback } = createOutbox({ self: SELF, now, wallNow: now })
      act(context)
      systems.run(context)
      for (let message = takeLoopback(); message !== undefined; message = takeLoopback()) systems.receive(SELF, message, context)
      for (const output of outputs) if (output.kind === 'disk.request') systems.receiveDisk({ writeId: output.request.writeId, ok: true }, context)
      terms.push(systems.placement.getLeaderTerm())
    }
    for (let run = 0; run < 300; run += 1) runOnce()
    terms.length = 0
    const outcomes: string[] = []
    runOnce(context => {
      for (const version of [1, 2, 3, 4]) {
        const document = Array.from({ length: DOCUMENT_WORDS }, () => random.nextFraction().toString(36)).join(' ')
        systems.commands.submit({ command: packCommand({ kind: 'routes.replace', table: buildTable(version), document }), deadlineAt: context.now + 4_000, onOutcome: ({ kind }) => { outcomes.push(kind) } }, context)
      }
    })
    for (let run = 0; run < 50; run += 1) runOnce()
    expect([outcomes, terms.filter(term => term === undefined)]).toEqual([['outcome', 'outcome', 'outcome', 'outcome'], []])
  })
})
