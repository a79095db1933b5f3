/** Reads the tests listed in `KNOWN-RED.txt` and judges a test run by them. */

/** `test: FILE, "TITLE": ...` */
const TEST_ENTRY = /^test: (\S+), "(.+?)": /

export interface KnownRed {
  readonly file: string
  readonly title: string
}

export interface TestResult extends KnownRed {
  readonly passed: boolean
}

export interface Verdict {
  readonly ok: boolean
  /** What a reader must know of the run, one line each. */
  readonly lines: readonly string[]
}

/** Returns the listed tests; other entries and comments are skipped. */
export function parseKnownRed (text: string): readonly KnownRed[] {
  return text.split('\n').flatMap(line => {
    const [, file, title] = TEST_ENTRY.exec(line) ?? []
    return file === undefined || title === undefined ? [] : [{ file, title }]
  })
}

/** Judges a run that ended with exit code `code`: good if tests ran, each failed test is listed, and nothing else failed. */
export function judgeResults (opts: { readonly results: readonly TestResult[], readonly knownRed: readonly KnownRed[], readonly code: number }): Verdict {
  const { results, knownRed, code } = opts
  const isListed = ({ file, title }: TestResult): boolean => knownRed.some(entry => entry.file === file && entry.title === title)
  const failed = results.filter(({ passed }) => !passed)
  const unlisted = failed.filter(result => !isListed(result))
  const isExplained = code === 0 || failed.length > 0
  const lines = [
    ...failed.filter(isListed).map(({ file, title }) => `known failing, failed: ${file}, "${title}"`),
    ...results.filter(result => result.passed && isListed(result)).map(({ file, title }) => `known failing, passed this time: ${file}, "${title}"`),
    ...unlisted.map(({ file, title }) => `failed: ${file}, "${title}"`)
  ]
  if (results.length === 0) lines.push('no test ran')
  if (!isExplained) lines.push(`the test runner ended with code ${code} although no test failed`)
  return { ok: results.length > 0 && unlisted.length === 0 && isExplained, lines }
}
