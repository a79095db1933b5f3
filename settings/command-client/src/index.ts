/** Submits commands to the leader and settles lost answers; the ledger client on top. */
export * from './commandClient.ts'
export * from './ledgerClient.ts'
