/** Lists everything in a valid route table that an operator probably did not intend. */
import type { RouteTable } from '@catkinferry/core.types'
import { listContradictions } from './contradictions.ts'
import { FindingGroup } from './findings.ts'
import type { Finding, FindingCode, FindingSource } from './findings.ts'
import { createFormatName } from './formatName.ts'
import type { HasKey } from './formatName.ts'
import { listUnusedEntries } from './unusedEntries.ts'

const HINTS: Readonly<Record<FindingCode, string>> = {
  'host-never-matches': 'Write the host as callers send it, without scheme, port or wildcard; international names in their ASCII form.',
  'path-never-matches': 'Write the path as callers send it: percent-encoded, without query, `.` and `..`.',
  'share-without-weight': 'Remove the share, or give it a weight.',
  'service-cannot-serve': 'Correct the connections, slots or models of the service, or send its requests elsewhere.',
  'service-without-route': 'Remove the service, or send requests of a route to it.',
  'account-without-key': 'Add a key, or remove the account.',
  'no-key-accepted': 'Add a key to an account; without the list of accounts, no key is required.',
  'keys-without-effect': 'Remove `public` from the routes that require a key.',
  'public-without-effect': 'Add accounts, or remove `public`.',
  'objective-above-timeout': 'Lower the objective (1000 ms unless given), or raise the timeout.',
  'pause-above-timeout': 'Lower the longest pause, or raise the timeout.',
  'attempts-without-repeat': 'Set the attempts to 1: only requests that certainly did not run are sent again.',
  'burst-below-request': 'Raise the burst to the largest request at least; else large requests are refused while the account is limited.',
  'quota-above-capacity': 'Check the unit and the number; 0 means no limit.',
  'model-above-memory': 'The model cannot be loaded: correct its size or the memory.',
  'adapters-above-memory': 'Lower the number of adapters, or raise the memory.',
  'priorities-without-effect': 'Give urgent routes or accounts a lower number.',
  'route-priorities-replaced': 'Remove the priorities of accounts whose requests are ordered by route.'
}

/** Lists the findings of a table that `checkRouteTable` accepts; paths are those of the table. */
export function listFindings ({ table, hasKey }: { readonly table: RouteTable, readonly hasKey: HasKey }): readonly Finding[] {
  const formatName = createFormatName(hasKey)
  const complete = (group: FindingGroup) => (found: FindingSource): Finding => ({ ...found, group, hint: HINTS[found.code] })
  return [...listUnusedEntries(table, formatName).map(complete(FindingGroup.UNUSED)), ...listContradictions(table, formatName).map(complete(FindingGroup.CONTRADICTION))]
}
