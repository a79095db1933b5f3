/** Submits commands and queries to the voters and resolves lost answers; includes the ledger client. */
export * from './commandClient.ts'
export * from './ledgerClient.ts'
