/** Tells whether a response that ends with its connection is complete: whether the process of its endpoint lives on. */
export { isAliveAfterEnd } from './isAliveAfterEnd.ts'
export type { LivenessOptions } from './isAliveAfterEnd.ts'
export { isFramed } from './isFramed.ts'
export type { ResponseFrame } from './isFramed.ts'
export { probeConnection } from './probeConnection.ts'
export type { ProbeOptions } from './probeConnection.ts'
