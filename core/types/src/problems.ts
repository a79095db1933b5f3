/** Problems of a configuration. They may be logged, so they never quote names, keys or other pieces of it. */

export interface ConfigProblem {
  /** Property names and list indexes that lead to the value. */
  readonly path: ReadonlyArray<string | number>
  readonly text: string
}
