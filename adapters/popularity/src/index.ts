/** Exponentially decayed request rates of adapters. */
export * from './popularity.ts'
