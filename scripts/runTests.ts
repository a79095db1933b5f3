/**
 * Runs all tests, or the files given as arguments. Failures of the tests that `KNOWN-RED.txt` lists do not fail the run; they
 * are printed at the end, as are listed tests that passed.
 */
import { spawn } from 'node:child_process'
import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join, relative } from 'node:path'
import { judgeResults, parseKnownRed } from './knownRed.ts'
import type { TestResult } from './knownRed.ts'

/** Time limit of a test file: one that hangs fails, and the others still run. */
const MAX_FILE_MS = 20 * 60_000

const SKIPPED_FOLDERS = new Set(['node_modules', 'target', 'dist', '.git'])

async function listTestFiles (folder: string): Promise<string[]> {
  const entries = await readdir(folder, { withFileTypes: true })
  const files = await Promise.all(entries.map(async entry => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return SKIPPED_FOLDERS.has(entry.name) ? [] : await listTestFiles(path)
    return entry.name.endsWith('.test.ts') ? [path] : []
  }))
  return files.flat()
}

function runNode (args: readonly string[]): Promise<number> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, args, { stdio: 'inherit' })
    child.on('error', reject)
    child.on('exit', code => resolve(code ?? 1))
  })
}

const files = process.argv.length > 2 ? process.argv.slice(2) : (await listTestFiles('.')).toSorted()
const folder = await mkdtemp(join(tmpdir(), 'catkinferry-tests-'))
const resultsFile = join(folder, 'results')
const code = await runNode([
  '--import', 'tsx', '--test', `--test-timeout=${MAX_FILE_MS}`,
  '--test-reporter', 'tap', '--test-reporter-destination', 'stdout',
  '--test-reporter', './scripts/resultReporter.mjs', '--test-reporter-destination', resultsFile,
  ...files
])
const results = (await readFile(resultsFile, 'utf8')).split('\n').filter(line => line !== '').map(line => JSON.parse(line) as TestResult).map(({ file, ...result }) => ({ ...result, file: relative('.', file) }))
await rm(folder, { recursive: true })
const verdict = judgeResults({ results, knownRed: parseKnownRed(await readFile('KNOWN-RED.txt', 'utf8')), code })
for (const line of verdict.lines) console.log(line)
process.exitCode = verdict.ok ? 0 : 1
