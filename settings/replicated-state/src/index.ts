/** The replicated state machine: settings, adapters, audit trail, change ids, ledger. */
export {}
