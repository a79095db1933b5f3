/**
 * Command line of the load and experiment tool, for developers: runs one experiment and prints its results as text or JSON.
 * Usage: `npm run measure -- NAME [--json] [--seed N] [--KEY VALUE]`.
 */
import meow from 'meow'
import type { ExperimentResults } from './experiment.ts'
import { experiments } from './experiments/index.ts'
import { getMachineFacts } from './machine.ts'
import { renderResults } from './printTable.ts'

const EXIT_BAD_ARGUMENT = 2
const DEFAULT_SEED = 1

const cli = meow(`
  Usage: npm run measure -- NAME [--json] [--seed N] [--KEY VALUE ...]

  Names:
${Object.values(experiments).map(({ name, description }) => `    ${name.padEnd(12)} ${description}`).join('\n')}
`, { importMeta: import.meta, flags: { json: { type: 'boolean', default: false }, seed: { type: 'number', default: DEFAULT_SEED } } })

const name = cli.input[0] ?? ''
const experiment = experiments[name]
if (experiment === undefined) {
  process.stderr.write(`unknown experiment '${name}'; known: ${Object.keys(experiments).join(', ')}\n`)
  process.exit(EXIT_BAD_ARGUMENT)
}

const { json, seed, ...rest } = cli.flags
const flags = Object.fromEntries(Object.entries(rest).map(([key, value]) => [key, String(value)]))
const measured = await experiment.run({ seed, flags })
const results: ExperimentResults = { experiment: name, seed, machine: getMachineFacts(), ...measured }
process.stdout.write(json ? JSON.stringify(results) + '\n' : renderResults(experiment, results) + '\n')
process.exit(0)
