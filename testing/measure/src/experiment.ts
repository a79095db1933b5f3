/** What an experiment is and what it gives. */

/** Options of one run, from the command line. */
export interface ExperimentOptions {
  readonly seed: number
  /** Experiment-specific options, as given on the command line. */
  readonly flags: Readonly<Record<string, string>>
}

/** Plain figures; printed as JSON as they are. */
export type Figures = Readonly<Record<string, unknown>>

/** A target for one figure. `key` is a path with dots into the figures. */
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
  readonly run: (opts: ExperimentOptions) => Promise<Figures>
}
