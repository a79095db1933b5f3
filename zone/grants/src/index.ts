/** Grants, pins, adapter loads and takeover at the owner of an endpoint. */
export * from './zoneSettings.ts'
export * from './grantQueue.ts'
export * from './pins.ts'
export * from './inventory.ts'
export * from './createGrants.ts'
export type { GrantsOptions } from './grantsCore.ts'
export type { EndpointDescription } from './describe.ts'
export type { GrantActive, GrantRequest, GrantCancel, GrantRelease } from './grantMessages.ts'
