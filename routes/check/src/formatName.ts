/** Formats names of a configuration for operators. An operator may have put a key where a name belongs, so such names are hidden. */

const MAX_NAME_CHARACTERS = 120
const HIDDEN = '(hidden: contains a key)'

/** Returns the name in quotes, with control characters escaped. */
export type FormatName = (name: string) => string

/** Whether a text contains a key. Route tables hold digests only, so whoever has the document must tell. */
export type HasKey = (text: string) => boolean

export function createFormatName (hasKey: HasKey): FormatName {
  return name => hasKey(name) ? HIDDEN : JSON.stringify(name.length > MAX_NAME_CHARACTERS ? `${name.slice(0, MAX_NAME_CHARACTERS)}...` : name)
}
