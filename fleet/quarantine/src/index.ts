/** Finds the prompt parts and requests that crash endpoints and has them refused. */
export { createQuarantine } from './quarantine.ts'
export type { Quarantine, QuarantineMessage, QuarantineOptions } from './quarantine.ts'
