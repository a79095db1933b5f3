/** Which sets of log commands the core hosts can apply, by what they say in their hellos. A command must not be proposed while some voter may lack it: the voter could not apply its log any further. */
import type { HostId } from '@catkinferry/core.types'
import { FIRST_COMMAND_SET, NEWEST_COMMAND_SET } from '@catkinferry/wire.messages'

/** Whether all hosts that apply the log can apply a set of commands. Unknown if some have not stated their set and none is known to lack it. */
export const CommandSupport = { SUPPORTED: 'supported', UNSUPPORTED: 'unsupported', UNKNOWN: 'unknown' } as const
export type CommandSupport = typeof CommandSupport[keyof typeof CommandSupport]

export interface CommandSets {
  /** Records what a core host says in its hello; undefined from releases that do not say it. */
  readonly receive: (from: HostId, commandSet: number | undefined) => void
  readonly findSupport: (commandSet: number) => CommandSupport
  readonly canApply: (host: HostId, commandSet: number) => boolean
}

export interface CommandSetsOptions {
  readonly self: HostId
  /** All that apply the log: voters, and hosts that are to become voters. */
  readonly listMembers: () => readonly HostId[]
}

/** Creates a table in which only this host is known. What a host said last holds also while it is silent. */
export function createCommandSets ({ self, listMembers }: CommandSetsOptions): CommandSets {
  const newest = new Map<HostId, number>([[self, NEWEST_COMMAND_SET]])
  return {
    receive: (from, commandSet) => { newest.set(from, commandSet ?? FIRST_COMMAND_SET) },
    findSupport: commandSet => {
      const stated = listMembers().map(host => newest.get(host))
      if (stated.some(set => set !== undefined && set < commandSet)) return CommandSupport.UNSUPPORTED
      return stated.length > 0 && stated.every(set => set !== undefined) ? CommandSupport.SUPPORTED : CommandSupport.UNKNOWN
    },
    canApply: (host, commandSet) => (newest.get(host) ?? FIRST_COMMAND_SET) >= commandSet
  }
}
