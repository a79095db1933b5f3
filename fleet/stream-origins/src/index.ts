/** Remembers on core hosts at which software version each stream began, and which versions each service lately ran in. */
export { createStreamOrigins } from './streamOrigins.ts'
export type { StreamOrigins, StreamOriginsMessage, StreamOriginsOptions } from './streamOrigins.ts'
export { createVersionRecord } from './versionRecord.ts'
export type { VersionRecord, VersionRecordOptions } from './versionRecord.ts'
