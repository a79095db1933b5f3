/** Events, outputs and the run context of the deterministic host core. */
export * from './events.ts'
export * from './outputs.ts'
export * from './context.ts'
