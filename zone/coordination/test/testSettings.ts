/** In-memory settings of a zone for tests. */
import type { SettingsView } from '@catkinferry/core.types'

const DEFAULT_SETTINGS: Readonly<Record<string, number>> = {
  'zone.leaseMs': 3000,
  'zone.subLeaseMs': 2000,
  'grant.startWithinMs': 500,
  'request.maxRunMs': 20_000,
  'endpoint.pollMs': 500,
  'platform.pollMs': 1000,
  'queue.limit': 2000,
  'queue.ageingMs': 5000,
  'adapters.evictHysteresis': 1.3,
  'loads.prefetchShare': 0.2,
  'loads.perSecond': 100,
  'loads.fullSpeedInFlight': 16,
  'loads.maxInFlight': 64,
  'loads.expectedMs': 250
}

export interface TestSettings extends SettingsView {
  /** Sets a value on all hosts at once. */
  readonly set: (key: string, value: unknown) => void
}

/** Creates settings with the given values in place of the defaults. */
export function createTestSettings (overrides: Readonly<Record<string, unknown>> | undefined): TestSettings {
  const values: Record<string, unknown> = { ...DEFAULT_SETTINGS, ...overrides }
  let revision = 1
  return {
    getRevision: () => revision,
    set: (key, value) => {
      values[key] = value
      revision++
    },
    isReady: () => true,
    getValue: <T>(_path: string, key: string) => values[key] as T,
    resolveAdapter: () => undefined,
    listAdapters: () => [],
    getCutOffSince: () => undefined
  }
}
