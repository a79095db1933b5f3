/** Finds the prompt parts that crash engines and has requests with them refused. */
export { createPromptQuarantine } from './promptQuarantine.ts'
export type { PromptQuarantine, PromptQuarantineMessage, PromptQuarantineOptions } from './promptQuarantine.ts'
