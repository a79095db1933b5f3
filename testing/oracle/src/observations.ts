/** What the oracle is told: only what engines ran, callers saw and operators were answered. Times are of one true clock, in ms. */

export type Observation =
  /** A caller submitted work. `token` names the submission, `content` stands in its body and is the same in resends. */
  | { readonly kind: 'submitted', readonly at: number, readonly token: string, readonly content: string, readonly caller: string, readonly adapter?: string, readonly version?: string, readonly idempotent: boolean }
  | { readonly kind: 'head', readonly at: number, readonly token: string, readonly caller: string, readonly adapter?: string, readonly version?: string }
  | { readonly kind: 'chunk', readonly at: number, readonly token: string, readonly caller: string, readonly data: string }
  | { readonly kind: 'ended', readonly at: number, readonly token: string, readonly caller: string, readonly replayed: boolean }
  | { readonly kind: 'failed', readonly at: number, readonly token: string, readonly caller: string, readonly ran: 'no' | 'yes' | 'unknown', readonly code: string }
  | { readonly kind: 'abandoned', readonly at: number, readonly token: string }
  /** An endpoint began work; `token` is the submission that the dispatch was made for, `content` what stood in the body. */
  | { readonly kind: 'runStarted', readonly at: number, readonly run: string, readonly endpoint: string, readonly token: string, readonly content: string, readonly adapter?: string, readonly version?: string }
  | { readonly kind: 'runEnded', readonly at: number, readonly run: string, readonly how: 'complete' | 'cancelled' | 'crashed' }
  | { readonly kind: 'evicted', readonly at: number, readonly endpoint: string, readonly adapterKey: string }
  | { readonly kind: 'endpointLeaving', readonly at: number, readonly endpoint: string }
  /** From here to `hostStopped` no fault may be blamed for a cut request of this host. */
  | { readonly kind: 'hostStopping', readonly at: number, readonly host: string }
  | { readonly kind: 'hostStopped', readonly at: number, readonly host: string, readonly cutTokens: readonly string[] }
  | { readonly kind: 'changeAccepted', readonly at: number, readonly revision: number, readonly changeId: string }
  /**
   * `reachableSince`: since when the host can reach everything without a break. `isolated`: it cannot reach a majority
   * of the voters. `life` rises with each start of its process.
   */
  | { readonly kind: 'hostRevision', readonly at: number, readonly host: string, readonly life: number, readonly isolated: boolean, readonly ready: boolean, readonly revision: number, readonly reachableSince: number | undefined }
