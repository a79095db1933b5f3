/** Types of the experiments, their options, results and targets. */

/** Options of one run, from the command line. */
export interface ExperimentOptions {
  readonly seed: number
  /** Experiment-specific options, as given on the command line. */
  readonly flags: Readonly<Record<string, string>>
}

/** Results of one run; must be plain data, as they are printed as JSON. */
export type ExperimentResults = Readonly<Record<string, unknown>>

/** Bound that one result should meet. `key` is a dot-separated path into the results. */
export interface Target {
  readonly key: string
  readonly bound: 'atLeast' | 'atMost'
  readonly value: number
  readonly unit: string
}

export interface Experiment {
  readonly name: string
  readonly description: string
  readonly targets: readonly Target[]
  readonly run: (opts: ExperimentOptions) => Promise<ExperimentResults>
}
