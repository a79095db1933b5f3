/** Addresses as `ip:port`. */

export interface Address {
  readonly host: string
  readonly port: number
}

/** Splits `ip:port`; an IP of version 6 stands in brackets. */
export function parseAddress (address: string): Address {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
