/** Checks the number of arguments against a command's usage. */
import { UsageError } from './commandContext.ts'

/** Words in capitals before the options are arguments; dots behind one allow more of it. */
function countAllowed (usage: string): number {
  const words = usage.split(/\s+/)
  const firstOption = words.findIndex(word => word.startsWith('-') || word.startsWith('['))
  const names = (firstOption === -1 ? words : words.slice(0, firstOption)).filter(word => /^[A-Z]/.test(word))
  return names.some(name => name.endsWith('...')) ? Infinity : names.length
}

/** Refuses arguments that the command would not read. Throws a usage error. */
export function checkArguments (usage: string, args: readonly string[]): void {
  const allowed = countAllowed(usage)
  if (args.length > allowed) throw new UsageError(`unexpected argument: ${args[allowed]}`)
}
