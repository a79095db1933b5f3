/** Parses network addresses of the form `ip:port`. */

export interface Address {
  readonly host: string
  readonly port: number
}

/** Splits `ip:port`; an IPv6 address is written in brackets. */
export function parseAddress (address: string): Address {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
