/**
 * On an entry host: how long ago the route table in force was certainly the newest one. Each hello with a `confirmId` asks a
 * core host for the newest version; the answer counts from the time when that hello was sent, because an operator may have
 * got a newer version acknowledged at any time after that.
 */
import type { DurationMs, HostId, MonotonicMs } from '@catkinferry/core.types'
import type { FleetMessage } from '@catkinferry/wire.messages'
import { computeAgeMs, createElapsedClock } from './elapsedClock.ts'
import type { ClockReading, Instant } from './elapsedClock.ts'

export type ConfirmedMessage = Extract<FleetMessage, { kind: 'fleet.confirmed' }>

export interface RouteConfirmationOptions {
  /** First id of this process. It must be random, since an answer to a former process of the same address may still arrive. */
  readonly firstId: number
  /** The table counts as current while its confirmation is younger than this. */
  readonly maxAgeMs: DurationMs
}

export interface RouteConfirmation {
  /** Returns the `confirmId` of a hello that is sent now. */
  readonly beginHello: (to: HostId, at: ClockReading) => number
  readonly receive: (from: HostId, message: ConfirmedMessage, at: ClockReading) => void
  /** The host holds this version of the route table now. */
  readonly setHeldVersion: (version: number, at: ClockReading) => void
  /** Time since the send of the newest confirmed hello; `Infinity` before the first confirmation. */
  readonly getAgeMs: (at: ClockReading) => DurationMs
  readonly isCurrent: (at: ClockReading) => boolean
  /** When a call first found the table too old; undefined while it is current. */
  readonly getOutdatedSince: (at: ClockReading) => MonotonicMs | undefined
  /** The host was paused, or needed no confirmation until now. The time since which the table is too old counts from here. */
  readonly recordResume: (at: ClockReading) => void
}

interface SentHello {
  readonly id: number
  readonly to: HostId
  readonly sentAt: Instant
}

/** Creates the state of a process that has sent no hello. */
export function createRouteConfirmation (opts: RouteConfirmationOptions): RouteConfirmation {
  const { maxAgeMs } = opts
  const getInstant = createElapsedClock()
  /** Hellos without an answer, oldest first. */
  const sent = new Map<number, SentHello>()
  /** The newest hello that was answered with a version which this host does not hold yet, by version. */
  const awaitingVersion = new Map<number, SentHello>()
  let nextId = opts.firstId
  let heldVersion = 0
  let confirmed: SentHello | undefined
  let outdatedSince: MonotonicMs | undefined

  function recordConfirmed (hello: SentHello): void {
    if (confirmed === undefined || hello.id > confirmed.id) confirmed = hello
  }

  /** Drops what can no longer make the table current. */
  function dropOld (at: Instant): void {
    for (const hello of sent.values()) if (computeAgeMs(hello.sentAt, at) >= maxAgeMs) sent.delete(hello.id)
    for (const [version, hello] of awaitingVersion) if (computeAgeMs(hello.sentAt, at) >= maxAgeMs) awaitingVersion.delete(version)
  }

  function getAgeMs (at: ClockReading): DurationMs {
    const instant = getInstant(at)
    return confirmed === undefined ? Infinity : computeAgeMs(confirmed.sentAt, instant)
  }

  function isCurrent (at: ClockReading): boolean {
    const current = getAgeMs(at) < maxAgeMs
    if (current) outdatedSince = undefined
    else outdatedSince ??= at.now
    return current
  }

  return {
    beginHello: (to, at) => {
      const sentAt = getInstant(at)
      dropOld(sentAt)
      const id = nextId++
      sent.set(id, { id, to, sentAt })
      return id
    },
    receive: (from, { confirmId, routesVersion }, at) => {
      dropOld(getInstant(at))
      const hello = sent.get(confirmId)
      if (hello?.to !== from) return
      sent.delete(confirmId)
      if (routesVersion <= heldVersion) recordConfirmed(hello)
      else if (hello.id > (awaitingVersion.get(routesVersion)?.id ?? -Infinity)) awaitingVersion.set(routesVersion, hello)
      isCurrent(at)
    },
    setHeldVersion: (version, at) => {
      heldVersion = version
      for (const [awaited, hello] of awaitingVersion) {
        if (awaited > version) continue
        recordConfirmed(hello)
        awaitingVersion.delete(awaited)
      }
      isCurrent(at)
    },
    getAgeMs,
    isCurrent,
    getOutdatedSince: at => isCurrent(at) ? undefined : outdatedSince,
    recordResume: at => { if (!isCurrent(at)) outdatedSince = at.now }
  }
}
