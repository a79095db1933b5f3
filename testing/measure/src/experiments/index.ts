/** Lookup table of experiments by name. */
import type { Experiment } from '../experiment.ts'
import { core } from './core.ts'
import { dissemination } from './dissemination.ts'
import { memory } from './memory.ts'
import { policyExperiment } from './policy.ts'

export const experiments: Readonly<Record<string, Experiment>> = {
  core,
  dissemination,
  memory,
  policy: policyExperiment
}
