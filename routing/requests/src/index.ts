/** The life of a request from submission to answer. */
export { createRequests } from './createRequests.ts'
export type { Requests, RequestsOptions } from './types.ts'
