/** Events, outputs and the run context of the deterministic host. */
export * from './events.ts'
export * from './outputs.ts'
export * from './context.ts'
