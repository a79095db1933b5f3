/** All experiments, by the name given on the command line. */
import type { Experiment } from '../experiment.ts'
import { capacity } from './capacity.ts'
import { relay } from './relay.ts'
import { core } from './core.ts'
import { dissemination } from './dissemination.ts'
import { fleet } from './fleet.ts'
import { memory } from './memory.ts'
import { policyExperiment } from './policy.ts'
import { settings } from './settings.ts'
import { recovery } from './recovery.ts'

export const experiments: Readonly<Record<string, Experiment>> = {
  relay,
  core,
  dissemination,
  memory,
  policy: policyExperiment,
  settings,
  recovery,
  capacity,
  fleet
}
