/** Builds the report of `config check`: errors, findings and differences, with their places in the document. */
import { buildDocumentPath, checkRouteDocument, createKeyFinder, createLineIndex, findFieldHint, findJsonPaths, getDocumentName, MAX_DOCUMENT_BYTES } from '@catkinferry/platform'
import type { TextPosition } from '@catkinferry/platform'
import type { ConfigProblem, RouteTable } from '@catkinferry/core.types'
import { compareRouteTables, listFindings } from '@catkinferry/routes.check'
import type { Difference, Effect, Finding, HasKey } from '@catkinferry/routes.check'

/** Increased when a field of the report is removed or changes its meaning; new fields do not change it. */
export const REPORT_SCHEMA = 1

export const Verdict = { CLEAN: 'clean', WARNINGS: 'warnings', ERRORS: 'errors' } as const
export type Verdict = typeof Verdict[keyof typeof Verdict]

export const ErrorKind = { TOO_LARGE: 'too-large', INVALID_JSON: 'invalid-json', INVALID_VALUE: 'invalid-value' } as const
export type ErrorKind = typeof ErrorKind[keyof typeof ErrorKind]

/** Something at a place of the checked document. `path` is that of the document, joined with dots; empty for the whole of it. */
export interface ReportRow extends TextPosition {
  readonly code: string
  readonly path: string
  readonly message: string
  readonly hint: string
}

export interface ReportWarning extends ReportRow {
  readonly group: Finding['group']
}

/** Removed entries have no place. */
export interface ReportDifference extends Partial<TextPosition> {
  readonly kind: Difference['kind']
  readonly change: Difference['change']
  readonly name: string
  readonly path?: string
  readonly fields: Difference['fields']
  readonly effects: readonly Effect[]
}

export interface ReportDifferences {
  readonly against: string
  readonly fromVersion: number
  readonly toVersion: number
  readonly items: readonly ReportDifference[]
  readonly effects: readonly Effect[]
}

export interface ConfigReport {
  readonly schema: typeof REPORT_SCHEMA
  readonly file: string
  readonly verdict: Verdict
  /** Of the checked document; absent if it is invalid. */
  readonly version?: number
  readonly errors: readonly ReportRow[]
  readonly warnings: readonly ReportWarning[]
  /** Present if another version was named and the document is valid. */
  readonly differences?: ReportDifferences
}

export interface ConfigReportOptions {
  readonly file: string
  readonly text: string
  /** The version in force. */
  readonly against?: { readonly name: string, readonly table: RouteTable, readonly document: unknown }
}

const JSON_HINT = 'Only the position is shown, because the text around it may be a key.'

/** Attaches positions to rows with paths in the document. */
function resolveRows<Row extends { readonly path: ConfigProblem['path'] }> (text: string, rows: readonly Row[]): ReadonlyArray<Omit<Row, 'path'> & TextPosition & { readonly path: string }> {
  if (rows.length === 0) return []
  const getPosition = createLineIndex(text)
  const offsets = findJsonPaths(text, rows.map(({ path }) => path))
  return rows.map((row, index) => ({ ...row, path: row.path.join('.'), ...getPosition(offsets[index] ?? 0) }))
}

function buildErrors (text: string, details: readonly ConfigProblem[], offset: number | undefined): readonly ReportRow[] {
  if (offset !== undefined) {
    const ending = text.trim() === '' ? 'the document is empty' : offset >= text.length ? 'the document ends too early' : 'the document is not valid JSON from here on'
    return [{ code: ErrorKind.INVALID_JSON, path: '', message: ending, hint: JSON_HINT, ...createLineIndex(text)(offset) }]
  }
  return resolveRows(text, details.map(({ path, text: message }) => ({ code: ErrorKind.INVALID_VALUE, path, message, hint: findFieldHint(path) })))
}

interface ValidDocument {
  readonly text: string
  readonly value: unknown
  readonly table: RouteTable
  readonly hasKey: HasKey
}

function buildDifferences ({ text, value, table, hasKey }: ValidDocument, { name, table: before }: NonNullable<ConfigReportOptions['against']>): ReportDifferences {
  const { items, ...rest } = compareRouteTables({ before, after: table, hasKey })
  const located = resolveRows(text, items.flatMap(({ path }) => path === undefined ? [] : [{ path: buildDocumentPath(path, value) }]))
  let next = 0
  const rows = items.map((item): ReportDifference => {
    const { kind, change, fields, effects } = item
    const shown = { kind, change, name: kind === 'limit' ? getDocumentName(item.name) : item.name }
    const place = item.path === undefined ? {} : located[next++]
    return { ...shown, ...place, fields: fields.map(row => ({ ...row, field: getDocumentName(row.field) })), effects }
  })
  return { against: name, ...rest, items: rows }
}

function findVerdict (errors: number, warnings: number, differences: ReportDifferences | undefined): Verdict {
  if (errors > 0) return Verdict.ERRORS
  const effects = [...differences?.effects ?? [], ...differences?.items.flatMap(item => item.effects) ?? []]
  return warnings > 0 || effects.some(({ isWarning }) => isWarning) ? Verdict.WARNINGS : Verdict.CLEAN
}

/** Builds the report of a document that is too large to be sent. */
export function buildTooLargeReport (file: string, bytes: number): ConfigReport {
  const error = { code: ErrorKind.TOO_LARGE, path: '', line: 1, column: 1, message: `the document has ${bytes} bytes; hosts accept at most ${MAX_DOCUMENT_BYTES}`, hint: 'Split the configuration, or remove entries that are not used.' }
  return { schema: REPORT_SCHEMA, file, verdict: Verdict.ERRORS, errors: [error], warnings: [] }
}

/** Checks a document as the fleet does, and compares it with the version in force. */
export function buildConfigReport ({ file, text, against }: ConfigReportOptions): ConfigReport {
  const bytes = Buffer.byteLength(text)
  if (bytes > MAX_DOCUMENT_BYTES) return buildTooLargeReport(file, bytes)
  const { decoded, value } = checkRouteDocument(text)
  if (!decoded.ok) return { schema: REPORT_SCHEMA, file, verdict: Verdict.ERRORS, errors: buildErrors(text, decoded.details, decoded.offset), warnings: [] }
  const { table } = decoded
  const hasKey = createKeyFinder([value, against?.document])
  const found = listFindings({ table, hasKey }).map(({ code, group, path, text: message, hint }) => ({ code, group, path: buildDocumentPath(path, value), message, hint }))
  const warnings = resolveRows(text, found)
  const differences = against === undefined ? undefined : buildDifferences({ text, value, table, hasKey }, against)
  return { schema: REPORT_SCHEMA, file, verdict: findVerdict(0, warnings.length, differences), version: table.version, errors: [], warnings, ...(differences === undefined ? {} : { differences }) }
}
