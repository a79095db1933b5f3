/** Messages between the relay experiment and its load client thread. */

export type ClientCommand =
  | { readonly kind: 'throughput', readonly url: string, readonly streams: number, readonly tokens: number, readonly warmUpMs: number, readonly forMs: number }
  | { readonly kind: 'firstChunks', readonly urls: readonly string[], readonly rounds: number, readonly warmUpRounds: number }

export type ClientReport =
  | { readonly kind: 'throughput', readonly chunksPerSecond: number, readonly failed: number }
  /** Milliseconds to the first chunk, one list per URL. */
  | { readonly kind: 'firstChunks', readonly times: readonly (readonly number[])[] }
  | { readonly kind: 'error', readonly message: string }
