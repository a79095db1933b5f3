/** Shares the strings of equal node names to save memory. */

/** Longest name that is shared, in characters. */
const SHARED_NAME_LENGTH = 8
/** Maximum number of shared names; when it is reached, further ones are copied. */
const MAX_SHARED_NAMES = 4_096

/** Copies a name, so that it does not keep the path that it was sliced from in memory. */
function copyName (name: string): string {
  return Buffer.from(name, 'latin1').toString('latin1')
}

/** Creates a function that returns one string for all equal short names, and a copy of each long name. */
export function createNameSharer (): (name: string) => string {
  const shared = new Map<string, string>()
  return name => {
    if (name.length > SHARED_NAME_LENGTH) return copyName(name)
    const known = shared.get(name)
    if (known !== undefined) return known
    const copied = copyName(name)
    if (shared.size < MAX_SHARED_NAMES) shared.set(copied, copied)
    return copied
  }
}
