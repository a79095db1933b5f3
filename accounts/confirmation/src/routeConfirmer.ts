/**
 * On a core host: answers hellos that ask for a confirmation with the newest version of the routes. One linearizable read
 * serves all hellos that arrived before it began, so the reads do not grow with the number of hosts.
 */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import { MAX_WAIT_MS, READ_INTERVAL_MS, READ_RETRY_MS, READ_TIMEOUT_MS } from './constants.ts'

export interface RouteConfirmerOptions {
  /**
   * Reads the newest version of the routes. The read must include everything that was acknowledged before this call. Calls
   * `onAnswer` once, after `timeoutMs` at the latest; with undefined if the read has failed.
   */
  readonly readVersion: (timeoutMs: DurationMs, onAnswer: (version: number | undefined, context: RunContext) => void, context: RunContext) => void
}

export interface RouteConfirmer {
  /** A hello with this id has arrived. */
  readonly receive: (from: HostId, confirmId: number, context: RunContext) => void
  readonly run: (context: RunContext) => void
  readonly getNextAt: () => MonotonicMs
}

interface WaitingHello {
  readonly confirmId: number
  readonly arrivedAt: MonotonicMs
}

/** Creates a confirmer without waiting hellos. */
export function createRouteConfirmer (opts: RouteConfirmerOptions): RouteConfirmer {
  /** The newest hello of each host that no read in progress covers. */
  let waiting = new Map<HostId, WaitingHello>()
  let isReading = false
  let nextReadAt = Number.NEGATIVE_INFINITY
  let lastReadFailed = false

  function reportResult (failed: boolean, hosts: number, { emit }: RunContext): void {
    if (failed === lastReadFailed) return
    lastReadFailed = failed
    if (failed) emit({ kind: 'log', level: 'warn', message: 'the newest routes version could not be read; no host is confirmed', fields: { step: 'confirmation', hosts } })
    else emit({ kind: 'log', level: 'info', message: 'the newest routes version can be read again', fields: { step: 'confirmation', hosts } })
  }

  function finishRead (hellos: ReadonlyMap<HostId, WaitingHello>, version: number | undefined, context: RunContext): void {
    isReading = false
    reportResult(version === undefined, hellos.size, context)
    if (version === undefined) {
      nextReadAt = context.now + READ_RETRY_MS
      for (const [host, hello] of hellos) if (!waiting.has(host)) waiting.set(host, hello)
      return
    }
    for (const [host, { confirmId }] of hellos) context.send(host, { kind: 'fleet.confirmed', confirmId, routesVersion: version })
  }

  return {
    receive: (from, confirmId, { now }) => { waiting.set(from, { confirmId, arrivedAt: now }) },
    run: context => {
      const { now } = context
      if (isReading || waiting.size === 0 || now < nextReadAt) return
      for (const [host, { arrivedAt }] of waiting) if (now - arrivedAt > MAX_WAIT_MS) waiting.delete(host)
      if (waiting.size === 0) return
      const hellos = waiting
      waiting = new Map()
      isReading = true
      nextReadAt = now + READ_INTERVAL_MS
      opts.readVersion(READ_TIMEOUT_MS, (version, answerContext) => finishRead(hellos, version, answerContext), context)
    },
    getNextAt: () => isReading || waiting.size === 0 ? Infinity : nextReadAt
  }
}
