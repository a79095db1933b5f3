/** Loads the settings file of a host: reads it, merges its include and checks the result. */
import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { LineCounter, parseDocument } from 'yaml'
import type { z } from 'zod'
import { checkConfig } from './checkConfig.ts'
import type { ConfigProblem } from './checkConfig.ts'
import { configSchema } from './configSchema.ts'
import type { Config } from './configSchema.ts'

export type ConfigResult =
  | { readonly ok: true, readonly config: Config }
  | { readonly ok: false, readonly problems: readonly ConfigProblem[] }

interface ReadResult {
  readonly values: Record<string, unknown>
  readonly problems: readonly ConfigProblem[]
}

/** Keys whose values are paths relative to the file that sets them. */
const PATH_KEYS = ['dataFolder', 'operatorTokens'] as const
const TLS_PATH_KEYS = ['certificate', 'key', 'authority'] as const

function readText (file: string): { text?: string, reason?: string } {
  try {
    return { text: readFileSync(file, 'utf8') }
  } catch (error) {
    return { reason: `cannot be read: ${(error as Error).message}` }
  }
}

function fail (file: string, path: string, reason: string): ReadResult {
  return { values: {}, problems: [{ file, path, reason }] }
}

function resolvePaths (values: Record<string, unknown>, folder: string): void {
  for (const key of PATH_KEYS) {
    const value = values[key]
    if (typeof value === 'string') values[key] = resolve(folder, value)
  }
  const { tls } = values
  if (typeof tls !== 'object' || tls === null) return
  const paths = tls as Record<string, unknown>
  for (const key of TLS_PATH_KEYS) {
    const value = paths[key]
    if (typeof value === 'string') paths[key] = resolve(folder, value)
  }
}

function parseYaml (file: string, text: string): ReadResult {
  const lineCounter = new LineCounter()
  const document = parseDocument(text, { lineCounter, prettyErrors: false })
  const problems = document.errors.map(error => {
    const { line, col } = lineCounter.linePos(error.pos[0])
    return { file, path: `line ${line}, column ${col}`, reason: error.message }
  })
  if (problems.length > 0) return { values: {}, problems }
  const values: unknown = document.toJS()
  if (typeof values !== 'object' || values === null || Array.isArray(values)) return fail(file, '', 'must be a mapping of keys')
  return { values: { ...values }, problems: [] }
}

/** Reads one file. Its own keys override those of the file that it includes. */
function readFile (file: string, mayInclude: boolean): ReadResult {
  const { text, reason } = readText(file)
  if (text === undefined) return fail(file, '', reason ?? 'cannot be read')
  const own = parseYaml(file, text)
  if (own.problems.length > 0) return own
  resolvePaths(own.values, dirname(file))
  const { include, ...values } = own.values
  if (include === undefined) return { values, problems: [] }
  if (!mayInclude || typeof include !== 'string') return fail(file, 'include', mayInclude ? 'must be a file name' : 'an included file cannot include another')
  const base = readFile(resolve(dirname(file), include), false)
  return { values: { ...base.values, ...values }, problems: base.problems }
}

function formatIssue (file: string, issue: z.core.$ZodIssue): ConfigProblem {
  const reason = issue.message.endsWith('received undefined') ? 'is missing' : issue.message
  return { file, path: issue.path.map(String).join('.'), reason }
}

/** Loads a settings file and reports all problems of a step (reading, schema, rules) at once. */
export function loadConfig (file: string): ConfigResult {
  const read = readFile(resolve(file), true)
  if (read.problems.length > 0) return { ok: false, problems: read.problems }
  const parsed = configSchema.safeParse(read.values)
  if (!parsed.success) return { ok: false, problems: parsed.error.issues.map(issue => formatIssue(file, issue)) }
  const problems = checkConfig(parsed.data).map(problem => ({ file, ...problem }))
  return problems.length > 0 ? { ok: false, problems } : { ok: true, config: parsed.data }
}

/** Formats problems as lines of file, path and reason. */
export function formatProblems (problems: readonly ConfigProblem[]): string {
  return problems.map(({ file, path, reason }) => path === '' ? `${file}: ${reason}` : `${file}: ${path}: ${reason}`).join('\n')
}
