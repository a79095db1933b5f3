/** What an entry host knows of prompt parts and requests that crash endpoints: the crashes it sees, what is answered, and what is quarantined. Part of the directory. */
import { isWholeRequest } from '@catkinferry/core.types'
import type { HostId, MonotonicMs, RequestTrait } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'
import { createCrashReports } from './crashReports.ts'
import type { CrashReports } from './crashReports.ts'
import { createSoundTraits } from './soundTraits.ts'
import type { SoundTraits } from './soundTraits.ts'

export interface TraitReports {
  readonly recordBroken: CrashReports['record']
  readonly recordUnreachable: CrashReports['recordUnreachable']
  readonly recordSound: SoundTraits['record']
  readonly watch: SoundTraits['watch']
  readonly receiveQuarantine: (message: Extract<FleetMessage, { kind: 'fleet.quarantine' }>, context: RunContext) => void
  /** The first of these traits that is quarantined; undefined if there is none. */
  readonly findQuarantined: (traits: readonly RequestTrait[]) => RequestTrait | undefined
  readonly getRevision: () => number
  readonly run: (context: RunContext, leader: HostId | undefined) => void
  readonly getNextAt: () => MonotonicMs
}

/** Creates empty reports. `onQuarantine` is called when other traits are quarantined than before. */
export function createTraitReports (opts: { readonly onQuarantine: () => void }): TraitReports {
  const crashes = createCrashReports()
  const soundParts = createSoundTraits()
  // Most requests come once. Remembered apart, they do not displace parts, which come again.
  const soundRequests = createSoundTraits()
  let quarantined: ReadonlySet<RequestTrait> = new Set()
  let quarantineRevision = 0
  return {
    recordBroken: crashes.record,
    recordUnreachable: crashes.recordUnreachable,
    recordSound: (traits, now) => {
      soundParts.record(traits.filter(trait => !isWholeRequest(trait)), now)
      soundRequests.record(traits.filter(isWholeRequest), now)
    },
    watch: (traits, now) => {
      soundParts.watch(traits, now)
      soundRequests.watch(traits, now)
    },
    receiveQuarantine: ({ revision, parts }, context) => {
      if (revision <= quarantineRevision) return
      quarantineRevision = revision
      quarantined = new Set(parts)
      context.emit({ kind: 'log', level: 'info', message: 'quarantined prompt parts received', fields: { step: 'quarantine', revision, parts } })
      opts.onQuarantine()
    },
    findQuarantined: traits => traits.find(trait => quarantined.has(trait)),
    getRevision: () => quarantineRevision,
    run: (context, leader) => {
      crashes.run(context, leader)
      soundParts.run(context, leader)
      soundRequests.run(context, leader)
    },
    getNextAt: () => Math.min(crashes.getNextAt(), soundParts.getNextAt(), soundRequests.getNextAt())
  }
}
