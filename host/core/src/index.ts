/** The deterministic core of a host. */
export { createHost } from './createHost.ts'
export type { Host } from './createHost.ts'
export { createOutbox } from './outbox.ts'
export { tryReceive } from './tryReceive.ts'
export type { HostOptions } from './hostOptions.ts'
