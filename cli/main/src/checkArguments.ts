/** Checks the number of arguments against a command's usage. */
import { UsageError } from './commandContext.ts'

/** Counts the arguments in a usage text: the words in capitals before the options. Dots after one allow any number. */
function countAllowed (usage: string): number {
  const words = usage.split(/\s+/)
  const firstOption = words.findIndex(word => word.startsWith('-') || word.startsWith('['))
  const names = (firstOption === -1 ? words : words.slice(0, firstOption)).filter(word => /^[A-Z]/.test(word))
  return names.some(name => name.endsWith('...')) ? Infinity : names.length
}

/** Throws a `UsageError` if there are more arguments than the usage allows, since the command would ignore them. */
export function checkArguments (usage: string, args: readonly string[]): void {
  const allowed = countAllowed(usage)
  if (args.length > allowed) throw new UsageError(`unexpected argument: ${args[allowed]}`)
}
