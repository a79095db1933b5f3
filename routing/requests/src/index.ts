/** Handles callers' requests on an entry host, from submission to answer. */
export { createRequests } from './createRequests.ts'
export type { Requests, RequestsOptions } from './types.ts'
