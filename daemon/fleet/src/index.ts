/** Hosts of a fleet that forms from seeds: entry hosts and core hosts. */
export type { CoreHostOptions, FleetPlatform } from './coreHost.ts'
export { startKeptCoreHost } from './keptCoreHost.ts'
export type { KeptCoreHost } from './keptCoreHost.ts'
export { startEntryHost } from './entryHost.ts'
export type { EntryHost, EntryHostOptions } from './entryHost.ts'
export type { FleetSettings, FleetTimes } from './fleetSettings.ts'
export { FLEET_METRICS, METRICS_PREFIX } from './fleetMetrics.ts'
export { openTextServer } from './textServer.ts'
