/** Lookup table of all commands except `dev`, by their one or two words. */
import type { Command } from '../commandContext.ts'
import { configCommands } from './configCommands.ts'
import { fleetCommands } from './fleetCommands.ts'
import { modelCommands } from './modelCommands.ts'
import { settingsCommands } from './settingsCommands.ts'
import { tokenCommands } from './tokenCommands.ts'

export const commands: Readonly<Record<string, Command>> = { ...modelCommands, ...settingsCommands, ...fleetCommands, ...tokenCommands, ...configCommands }

/** Finds the command that the first one or two words name. */
export function findCommand (words: readonly string[]): { readonly command: Command, readonly args: readonly string[] } | undefined {
  for (const length of [2, 1]) {
    const name = words.slice(0, length).join(' ')
    const command = Object.hasOwn(commands, name) ? commands[name] : undefined
    if (command !== undefined) return { command, args: words.slice(length) }
  }
  return undefined
}
