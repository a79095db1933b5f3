/**
 * Mutations for testing the fuzzer: each breaks the code under test in one place, and the fuzzer must report a violation.
 * A mutation replaces source text, so it must be updated when the line that it searches for changes.
 */
import type { Action } from './actions.ts'

export interface Mutation {
  readonly name: string
  /** Kinds of action that expose the mutation, so that a test run detects it in time. A kind listed twice is generated twice as often. */
  readonly kinds: ReadonlyArray<Action['kind']>
  /** Path of the source file, relative to the repository root. */
  readonly file: string
  /** Source text to replace; must occur exactly once in the file. */
  readonly find: string
  readonly replace: string
}

/** At least one mutation for each invariant. */
export const mutations: readonly Mutation[] = [
  {
    name: 'a pinned adapter may be evicted',
    kinds: ['submit', 'wait'],
    file: 'zone/grants/src/pins.ts',
    find: 'isPinned: adapterKey => counts.has(adapterKey)',
    replace: 'isPinned: () => false'
  },
  {
    name: 'a claim is given to everybody',
    kinds: ['submitOnce', 'resend', 'wait'],
    file: 'ledger/claims/src/claimsTable.ts',
    find: 'if (!isFree) {',
    replace: 'if (!isFree && false) {'
  },
  {
    name: 'claimed work is repeated after it may have run',
    kinds: ['submitOnce', 'engineFault', 'serviceRestart', 'wait'],
    file: 'routing/requests/src/attemptEvents.ts',
    find: 'if (row.claim !== undefined && end.sent) return \'not repeated: the work may have run\'',
    replace: ''
  },
  {
    name: 'work that was sent counts as not run',
    kinds: ['submit', 'engineFault', 'wait'],
    file: 'routing/requests/src/failing.ts',
    find: 'if (row.ran !== \'no\') return row.ran',
    replace: 'if (row.ran !== \'no\') return \'no\''
  },
  {
    name: 'a crossed answer is delivered',
    kinds: ['submit', 'engineFault', 'wait'],
    file: 'routing/requests/src/attemptEvents.ts',
    find: 'if (!isEchoTrue(attempt, event.echo)) {',
    replace: 'if (!isEchoTrue(attempt, event.echo) && false) {'
  },
  {
    name: 'two operators with equal revisions both win',
    kinds: ['change', 'wait'],
    file: 'settings/tree/src/planChange.ts',
    find: 'if (conflicts.length > 0) return refuseConflict(conflicts)',
    replace: ''
  },
  {
    name: 'a resent change is applied again',
    kinds: ['change', 'resendChange', 'wait'],
    file: 'settings/replicated-state/src/changeAnswers.ts',
    find: 'get: changeId => answers.get(changeId),',
    replace: 'get: () => undefined,'
  },
  {
    name: 'a leaving endpoint gets grants',
    kinds: ['submit', 'leave', 'wait'],
    file: 'zone/membership/src/platformTable.ts',
    find: 'a.leaving === b.leaving',
    replace: 'true'
  },
  {
    name: 'a graceful shutdown does not wait for running requests',
    kinds: ['submit', 'stop', 'stop', 'stop', 'start'],
    file: 'host/core/src/createHost.ts',
    find: 'if (!idle) return',
    replace: ''
  },
  {
    name: 'a host is ready before it knows the highest revision',
    kinds: ['change', 'restartAll', 'slowDisks', 'cutHost', 'heal', 'wait'],
    file: 'settings/dissemination/src/startup.ts',
    find: 'if (targetRevision === undefined || state.settingsInForce.getRevision() < targetRevision) return',
    replace: ''
  },
  {
    name: 'votes and acknowledgements go out before the disk has synced',
    kinds: ['change', 'slowDisks', 'restartAll', 'wait'],
    file: 'consensus/log-machine/src/disk.ts',
    find: 'if (state.durableWriteId >= state.lastLogWriteId) {',
    replace: 'if (state.lastLogWriteId >= 0) {'
  }
]
