/** Messages between the relay experiment and its threads. */

export type ClientCommand =
  | { readonly kind: 'throughput', readonly url: string, readonly streams: number, readonly tokens: number, readonly warmUpMs: number, readonly forMs: number }
  | { readonly kind: 'firstChunks', readonly urls: readonly string[], readonly rounds: number, readonly warmUpRounds: number }

export type ClientReport =
  | { readonly kind: 'throughput', readonly chunksPerSecond: number, readonly failed: number }
  /** One list of milliseconds a URL. */
  | { readonly kind: 'firstChunks', readonly times: readonly (readonly number[])[] }
  | { readonly kind: 'error', readonly message: string }
