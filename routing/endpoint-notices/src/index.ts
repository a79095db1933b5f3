/** What endpoints announce in their responses, by which the relay withholds requests from them. */
export * from './endpointNotices.ts'
export * from './requestLimits.ts'
export * from './retryAfter.ts'
