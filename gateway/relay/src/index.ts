/** Passes callers' requests on as opaque bytes, by the routes in force. */
export { createRelay } from './relay.ts'
export type { Relay } from './relay.ts'
export type { RelayOptions, RelayObserver, RelayPlace } from './relayOptions.ts'
export type { RetryBudget } from './retryAllowance.ts'
export type { AnswerFacts, EndpointLoad, ForwardFacts, RelayDialect, RequestFacts } from './dialect.ts'
