/** Extracts the history of one request from the log lines of several processes, for `catkinferry explain --file`. */

/** One log line as written by a process. */
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

export interface RequestHistory {
  readonly requestId: string
  /** Lines of the request itself, oldest first. */
  readonly decisions: readonly LogLine[]
  /** Lines about its hosts, endpoints and adapter that name no request, from shortly before its first decision to its last, oldest first. */
  readonly circumstances: readonly LogLine[]
}

/** Time before the first decision from which circumstances are included. */
const BEFORE_MS = 5_000
/** Time after the last decision up to which they are included, since the clocks of several hosts differ. */
const AFTER_MS = 500
const OMITTED_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'message', 'host', 'requestId', 'step'])

/** Parses the lines that contain a JSON log line, also after a prefix added by a log collector. */
export function parseLogLines (text: string): readonly LogLine[] {
  const lines: LogLine[] = []
  for (const textLine of text.split('\n')) {
    const start = textLine.indexOf('{"time"')
    if (start === -1) continue
    try {
      lines.push(JSON.parse(textLine.slice(start)) as LogLine)
    } catch {
      // Skips a line that was truncated when its process died.
    }
  }
  return lines
}

function listAdapterNames (decisions: readonly LogLine[]): Set<string> {
  return new Set(decisions.flatMap(({ adapter }) => adapter === undefined ? [] : [adapter, adapter.slice(0, adapter.lastIndexOf('@'))]))
}

/** Finds the history of a request; undefined if no line names it. */
export function findRequestHistory (lines: readonly LogLine[], requestId: string): RequestHistory | undefined {
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
  const fields = Object.entries(line).filter(([key, value]) => !OMITTED_FIELDS.has(key) && value !== undefined)
  const shown = fields.map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ')
  return `${line.time}  ${line.host ?? '-'}  ${line.message}${shown === '' ? '' : `  ${shown}`}`
}

/** Renders a history as text. */
export function renderRequestHistory ({ requestId, decisions, circumstances }: RequestHistory): string {
  const circumstanceLines = circumstances.length === 0 ? ['(no other log lines about its hosts, endpoints and adapter)'] : circumstances.map(formatLine)
  return [`request ${requestId}`, '', 'decisions', ...decisions.map(formatLine), '', 'meanwhile', ...circumstanceLines].join('\n')
}
