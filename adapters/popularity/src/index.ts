/** Decayed request rates per adapter. */
export * from './popularity.ts'
