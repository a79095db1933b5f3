/**
 * Command line of the fuzzer: `npm run fuzz -- --seed N --runs M --minutes T`. Prints the totals as one line of JSON and,
 * for a failure, the violations, the shrunk action list and the command that replays it; then exits with 1.
 */
import { SMALL_DEPLOYMENT } from '@catkinferry/testing.network'
import fc from 'fast-check'
import meow from 'meow'
import { createActionsArbitrary } from './actions.ts'
import { runActions } from './runActions.ts'

const DEFAULT_RUNS = 100
const DEFAULT_LENGTH = 60
const MS_PER_MINUTE = 60_000
const TRACE_LINES = 120
const EXIT_FAILED = 1

const cli = meow(`
  Usage: npm run fuzz -- [--seed N] [--runs M] [--minutes T] [--length L] [--path P] [--fencing] [--trace]

  --seed     seed of the whole run (default 1)
  --runs     number of action lists (default ${DEFAULT_RUNS})
  --minutes  stop after this many minutes, even if runs are left
  --length   maximum number of actions in a list (default ${DEFAULT_LENGTH})
  --path     replay the failing list at this path, as printed by an earlier run
  --fencing  engines check fencing tokens
  --trace    print the log of the failing list
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number', default: 1 },
    runs: { type: 'number', default: DEFAULT_RUNS },
    minutes: { type: 'number' },
    length: { type: 'number', default: DEFAULT_LENGTH },
    path: { type: 'string' },
    fencing: { type: 'boolean', default: false },
    trace: { type: 'boolean', default: false }
  }
})

const { seed, runs, minutes, length, path, fencing, trace } = cli.flags
const shape = { ...SMALL_DEPLOYMENT, checksFencing: fencing }
const totals = { lists: 0, submitted: 0, completed: 0, acceptedChanges: 0 }

const property = fc.property(createActionsArbitrary({ minLength: 5, maxLength: length }), fc.nat({ max: 1_000_000 }), (actions, clusterSeed) => {
  const verdict = runActions({ seed: clusterSeed, shape, actions })
  totals.lists++
  totals.submitted += verdict.submitted
  totals.completed += verdict.completed
  totals.acceptedChanges += verdict.acceptedChanges
  if (verdict.violations.length > 0) throw new Error(verdict.violations.slice(0, 5).join('\n'))
})

const details = fc.check(property, {
  seed,
  numRuns: runs,
  path,
  interruptAfterTimeLimit: minutes === undefined ? undefined : minutes * MS_PER_MINUTE,
  markInterruptAsFailure: false
})

process.stdout.write(`${JSON.stringify({ seed, failed: details.failed, ...totals })}\n`)
if (details.failed) {
  const [actions, clusterSeed] = details.counterexample ?? [[], 0]
  const error = details.errorInstance instanceof Error ? details.errorInstance.message : String(details.errorInstance)
  process.stdout.write(`${error}\nreplay: npm run fuzz -- --seed ${seed} --length ${length} --path ${details.counterexamplePath}${fencing ? ' --fencing' : ''}\n`)
  process.stdout.write(`cluster seed ${clusterSeed}\n${actions.map(action => JSON.stringify(action)).join('\n')}\n`)
  if (trace) process.stdout.write(runActions({ seed: clusterSeed, shape, actions }).log.slice(-TRACE_LINES).join('\n') + '\n')
  process.exit(EXIT_FAILED)
}
