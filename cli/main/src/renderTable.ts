/** Renders replies as text and tables. */

const COLUMN_GAP = '  '

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  return typeof value === 'object' ? JSON.stringify(value) : String(value)
}

function isRow (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** Renders rows as a table whose columns are the union of their keys. */
export function renderTable (rows: readonly Record<string, unknown>[]): string {
  if (rows.length === 0) return '(none)'
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)))
  return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP).trimEnd()).join('\n')
}

function findLists (body: Record<string, unknown>): [string, Record<string, unknown>[]][] {
  return Object.entries(body).filter((entry): entry is [string, Record<string, unknown>[]] => {
    const [, value] = entry
    return Array.isArray(value) && value.length > 0 && value.every(isRow)
  })
}

/** Renders the body of any reply: lists of rows as tables, the rest as keys and values. */
export function renderBody (body: unknown): string {
  if (Array.isArray(body)) return body.every(isRow) ? renderTable(body) : body.map(formatCell).join('\n')
  if (!isRow(body)) return formatCell(body)
  const lists = findLists(body)
  const listed = new Set(lists.map(([key]) => key))
  const unlisted = Object.entries(body).filter(([key, value]) => !listed.has(key) && value !== undefined)
  const width = Math.max(0, ...unlisted.map(([key]) => key.length))
  const lines = unlisted.map(([key, value]) => `${key.padEnd(width)}${COLUMN_GAP}${formatCell(value)}`)
  return [...lines, ...lists.map(([key, rows]) => `\n${key}:\n${renderTable(rows)}`)].join('\n')
}
