/** The settings used by the zone system, read on first use and again only when the settings revision changes. */
import type { LoadLimits } from '@catkinferry/adapters.load-budget'
import type { DurationMs, HostId, NodePath, SettingsView } from '@catkinferry/core.types'

export interface ZoneSettings {
  readonly leaseMs: DurationMs
  readonly subLeaseMs: DurationMs
  /** Time within which a granted attempt must start. */
  readonly startWithinMs: DurationMs
  readonly maxRunMs: DurationMs
  readonly endpointPollMs: DurationMs
  readonly platformPollMs: DurationMs
  /** Maximum grant requests waiting at one endpoint. */
  readonly queueLimit: number
  readonly ageingMs: DurationMs
  /** Factor by which the value of a load must exceed the value of the adapter that it evicts. */
  readonly evictHysteresis: number
  /** Numbered set of lease voters; if it has no hosts, those of the settings file apply. */
  readonly leaseVoters: { readonly number: number, readonly hosts: readonly HostId[] }
  readonly loads: LoadLimits
}

function readZoneSettings (settings: SettingsView, path: NodePath): ZoneSettings {
  const get = (key: string): number => settings.getValue<number>(path, key)
  return {
    leaseMs: get('zone.leaseMs'),
    subLeaseMs: get('zone.subLeaseMs'),
    startWithinMs: get('grant.startWithinMs'),
    maxRunMs: get('request.maxRunMs'),
    endpointPollMs: get('endpoint.pollMs'),
    platformPollMs: get('platform.pollMs'),
    queueLimit: get('queue.limit'),
    ageingMs: get('queue.ageingMs'),
    evictHysteresis: get('adapters.evictHysteresis'),
    leaseVoters: settings.getValue<ZoneSettings['leaseVoters'] | undefined>(path, 'zone.leaseVoters') ?? { number: 0, hosts: [] },
    loads: {
      perSecond: get('loads.perSecond'),
      fullSpeedInFlight: get('loads.fullSpeedInFlight'),
      maxInFlight: get('loads.maxInFlight'),
      prefetchShare: get('loads.prefetchShare'),
      expectedMs: get('loads.expectedMs')
    }
  }
}

/** Creates a getter of the effective settings at a node. */
export function createZoneSettings (settings: SettingsView, path: NodePath): () => ZoneSettings {
  let revision = settings.getRevision()
  let current: ZoneSettings | undefined
  return () => {
    const latest = settings.getRevision()
    if (current === undefined || latest !== revision) {
      revision = latest
      current = readZoneSettings(settings, path)
    }
    return current
  }
}
