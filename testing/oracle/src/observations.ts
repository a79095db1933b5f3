/** Events that the simulated deployment reports to the oracle: what endpoints ran, callers received and operators were answered. Times (`at`) are virtual time in ms, not the local clocks of the hosts. */

export type Observation =
  /** A caller submitted work. `token` identifies the submission; `content` is part of its body and the same in resends. */
  | { readonly kind: 'submitted', readonly at: number, readonly token: string, readonly content: string, readonly caller: string, readonly adapter?: string, readonly version?: string, readonly idempotent: boolean }
  | { readonly kind: 'head', readonly at: number, readonly token: string, readonly caller: string, readonly adapter?: string, readonly version?: string }
  | { readonly kind: 'chunk', readonly at: number, readonly token: string, readonly caller: string, readonly data: string }
  | { readonly kind: 'ended', readonly at: number, readonly token: string, readonly caller: string, readonly replayed: boolean }
  | { readonly kind: 'failed', readonly at: number, readonly token: string, readonly caller: string, readonly ran: 'no' | 'yes' | 'unknown', readonly code: string }
  | { readonly kind: 'abandoned', readonly at: number, readonly token: string }
  /** An endpoint started to run work. `token` identifies the submission that was dispatched; `content` is from the received body. */
  | { readonly kind: 'runStarted', readonly at: number, readonly run: string, readonly endpoint: string, readonly token: string, readonly content: string, readonly adapter?: string, readonly version?: string }
  | { readonly kind: 'runEnded', readonly at: number, readonly run: string, readonly how: 'complete' | 'cancelled' | 'crashed' }
  | { readonly kind: 'evicted', readonly at: number, readonly endpoint: string, readonly adapterKey: string }
  | { readonly kind: 'endpointLeaving', readonly at: number, readonly endpoint: string }
  /** A graceful shutdown started. Requests of this host that are cut from here to `hostStopped` are violations, whatever the faults. */
  | { readonly kind: 'hostStopping', readonly at: number, readonly host: string }
  | { readonly kind: 'hostStopped', readonly at: number, readonly host: string, readonly cutTokens: readonly string[] }
  | { readonly kind: 'changeAccepted', readonly at: number, readonly revision: number, readonly changeId: string }
  /**
   * Settings revision of a host. `reachableSince`: time since which the host has been able to reach all others without
   * interruption. `isolated`: it cannot reach a majority of the voters. `incarnation` increases with each start of its process.
   */
  | { readonly kind: 'hostRevision', readonly at: number, readonly host: string, readonly incarnation: number, readonly isolated: boolean, readonly ready: boolean, readonly revision: number, readonly reachableSince: number | undefined }
