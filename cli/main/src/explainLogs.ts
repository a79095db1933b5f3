/** Tells the course of one request from log lines of several processes: its own decisions, and what it depended on meanwhile. */

/** One log line, as the processes write it. */
export interface LogLine {
  readonly time: string
  readonly level: string
  readonly message: string
  readonly host?: string
  readonly step?: string
  readonly requestId?: string
  readonly peer?: string
  readonly adapter?: string
  readonly [key: string]: unknown
}

export interface Course {
  readonly requestId: string
  /** Lines of the request itself, oldest first. */
  readonly decisions: readonly LogLine[]
  /** Lines of other kinds about its hosts, endpoints and adapter, from a little before its first decision to its last. */
  readonly circumstances: readonly LogLine[]
}

/** How long before the first decision circumstances count. */
const BEFORE_MS = 5_000
/** How long after the last one: the lines of several hosts are not in step. */
const AFTER_MS = 500
const SHOWN_FIELDS_OFF: ReadonlySet<string> = new Set(['time', 'level', 'message', 'host', 'requestId', 'step'])

/** Reads the lines that are JSON, also behind a prefix that a collector has put there. */
export function parseLogLines (text: string): readonly LogLine[] {
  const lines: LogLine[] = []
  for (const row of text.split('\n')) {
    const begin = row.indexOf('{"time"')
    if (begin === -1) continue
    try {
      lines.push(JSON.parse(row.slice(begin)) as LogLine)
    } catch {
      // A line that was cut off when its process died tells nothing.
    }
  }
  return lines
}

function listAdapterNames (decisions: readonly LogLine[]): Set<string> {
  return new Set(decisions.flatMap(({ adapter }) => adapter === undefined ? [] : [adapter, adapter.slice(0, adapter.lastIndexOf('@'))]))
}

/** Finds the course of a request; undefined where no line names it. */
export function findCourse (lines: readonly LogLine[], requestId: string): Course | undefined {
  const decisions = lines.filter(line => line.requestId === requestId).toSorted((a, b) => a.time.localeCompare(b.time))
  const [first] = decisions
  const last = decisions.at(-1)
  if (first === undefined || last === undefined) return undefined
  const from = new Date(Date.parse(first.time) - BEFORE_MS).toISOString()
  const until = new Date(Date.parse(last.time) + AFTER_MS).toISOString()
  const hosts = new Set(decisions.map(({ host }) => host))
  const peers = new Set(decisions.flatMap(({ peer }) => peer === undefined ? [] : [peer]))
  const adapters = listAdapterNames(decisions)
  const circumstances = lines.filter(line => {
    if (line.requestId !== undefined || line.time < from || line.time > until) return false
    return hosts.has(line.host) || (line.peer !== undefined && peers.has(line.peer)) || (line.adapter !== undefined && adapters.has(line.adapter))
  }).toSorted((a, b) => a.time.localeCompare(b.time))
  return { requestId, decisions, circumstances }
}

function formatLine (line: LogLine): string {
  const fields = Object.entries(line).filter(([key, value]) => !SHOWN_FIELDS_OFF.has(key) && value !== undefined)
  const shown = fields.map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
  return `${line.time}  ${line.host ?? '-'}  ${line.message}${shown === '' ? '' : `  ${shown}`}`
}

/** Renders a course for people. */
export function renderCourse ({ requestId, decisions, circumstances }: Course): string {
  const around = circumstances.length === 0 ? ['(nothing else was logged about its hosts, endpoints and adapter)'] : circumstances.map(formatLine)
  return [`request ${requestId}`, '', 'decisions', ...decisions.map(formatLine), '', 'meanwhile', ...around].join('\n')
}
