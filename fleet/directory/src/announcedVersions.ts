/** Adapter versions announced to this entry host, as published by the core hosts. The relay reads them for each request. */
import type { AdapterName, ModelId, MonotonicMs } from '@catkinferry/core.types'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetMessage } from '@catkinferry/wire.messages'

/** The announced version of an adapter, and when this host received it. */
export interface Announced {
  readonly version: number
  readonly at: MonotonicMs
}

export interface AnnouncedVersions {
  /** Ignored if earlier announcements are missing. Of each adapter the highest version is kept. */
  readonly receive: (message: Extract<FleetMessage, { kind: 'fleet.announced' }>, context: RunContext) => void
  /** Undefined if no version of the adapter was announced. */
  readonly get: (model: ModelId, adapter: AdapterName) => Announced | undefined
  /** Sequence number of the newest announcement received. */
  readonly getSequence: () => number
}

/** Creates an empty table. */
export function createAnnouncedVersions (): AnnouncedVersions {
  const announced = new Map<string, Announced>()
  let heldSequence = 0

  return {
    receive: ({ after, sequence, versions }, context) => {
      if (after > heldSequence) return
      heldSequence = Math.max(heldSequence, sequence)
      for (const [model, adapter, version] of versions) {
        const key = `${model}/${adapter}`
        if ((announced.get(key)?.version ?? 0) >= version) continue
        announced.set(key, { version, at: context.now })
        context.emit({ kind: 'log', level: 'info', message: 'adapter version received', fields: { step: 'versions', adapter: key, version, sequence } })
      }
    },
    get: (model, adapter) => announced.get(`${model}/${adapter}`),
    getSequence: () => heldSequence
  }
}
