/** Command line of the fault matrix: `npm run matrix`. Prints failed cells and the totals; `--write` also writes the report. Exits with 1 if a cell failed. */
import { writeFileSync } from 'node:fs'
import meow from 'meow'
import { renderMatrix } from './renderMatrix.ts'
import { listPairCells, listSingleCells, runCell } from './runMatrix.ts'
import type { CellVerdict } from './runMatrix.ts'

const EXIT_FAILED = 1
const REPORT = 'docs/FAULTS.md'
const TRACE_LINES = 150

const cli = meow(`
  Usage: npm run matrix -- [--seed N] [--step NAME] [--fault NAME] [--pairs] [--every K] [--write] [--trace]

  --seed   seed of every cell (default 1)
  --step   only steps whose name contains this text
  --fault  only cells with a fault whose name contains this text
  --pairs  inject two faults at the same moment instead of one
  --every  only every Kth cell (default 1)
  --write  write ${REPORT}
  --trace  print the log of failed cells
`, {
  importMeta: import.meta,
  flags: {
    seed: { type: 'number', default: 1 },
    step: { type: 'string', default: '' },
    fault: { type: 'string', default: '' },
    pairs: { type: 'boolean', default: false },
    every: { type: 'number', default: 1 },
    write: { type: 'boolean', default: false },
    trace: { type: 'boolean', default: false }
  }
})

const { seed, step, fault, pairs, every, write, trace } = cli.flags
const cells = (pairs ? listPairCells() : listSingleCells())
  .filter(cell => cell.step.name.includes(step) && cell.faults.some(({ name }) => name.includes(fault)))
  .filter((_, index) => index % every === 0)
const verdicts: CellVerdict[] = []
for (const cell of cells) {
  const verdict = runCell({ seed, ...cell })
  verdicts.push(verdict)
  if (verdict.result !== 'failed') continue
  process.stdout.write(`FAILED ${verdict.step} with ${verdict.faults.join(' and ')}, seed ${seed}\n  ${verdict.violations.slice(0, 4).join('\n  ')}\n`)
  if (trace) process.stdout.write(verdict.log.slice(-TRACE_LINES).join('\n') + '\n')
}
const count = (result: CellVerdict['result']): number => verdicts.filter(verdict => verdict.result === result).length
process.stdout.write(`${verdicts.length} cells: ${count('passed')} passed, ${count('failed')} failed, ${count('not seen')} not seen\n`)
if (write) writeFileSync(REPORT, renderMatrix(verdicts, seed))
if (count('failed') > 0) process.exit(EXIT_FAILED)
