/** HTTP reverse proxy of entry hosts: forwards callers' requests to endpoints by the current route table. */
export { createRelay } from './relay.ts'
export type { Relay } from './relay.ts'
export type { RelayOptions, RelayObserver, RelayLocation } from './relayOptions.ts'
export type { RetryBudget } from './retryAllowance.ts'
export type { AnswerFacts, EndpointLoad, ForwardFacts, RelayDialect, RequestFacts } from './dialect.ts'
export type { AccountGate } from './accountGate.ts'
export { PRIORITIES_PER_ACCOUNT_PRIORITY } from './accountCheck.ts'
