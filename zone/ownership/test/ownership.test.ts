/** Choice of owners: balance, and stability when a host leaves. */
import { chooseOwner, computeOwnerLimit } from '@catkinferry/zone.ownership'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const endpoints = Array.from({ length: 400 }, (_, index) => `e${index}`)
const hosts = Array.from({ length: 35 }, (_, index) => `h${index}`)

function assignAll (among: readonly string[]): Map<string, string> {
  const counts = new Map<string, number>()
  const owners = new Map<string, string>()
  const limit = computeOwnerLimit(endpoints.length, among.length)
  for (const endpoint of endpoints) {
    const owner = chooseOwner({ endpoint, hosts: among, limit, getCount: host => counts.get(host) ?? 0 }) ?? ''
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
    owners.set(endpoint, owner)
  }
  return owners
}

describe('chooseOwner', () => {
  it('gives no host more than a quarter above its even share', () => {
    const counts = new Map<string, number>()
    for (const owner of assignAll(hosts).values()) counts.set(owner, (counts.get(owner) ?? 0) + 1)
    expect(Math.max(...counts.values())).toBeLessThan(computeOwnerLimit(400, 35) + 1)
    expect(computeOwnerLimit(400, 35)).toEqual(15)
  })

  it('moves few endpoints of other hosts when one host leaves', () => {
    const before = assignAll(hosts)
    const after = assignAll(hosts.slice(1))
    const moved = endpoints.filter(endpoint => before.get(endpoint) !== 'h0' && before.get(endpoint) !== after.get(endpoint))
    expect(moved.length).toBeLessThan(40)
  })

  it('returns undefined when all hosts are at the limit', () => {
    expect(chooseOwner({ endpoint: 'e', hosts, limit: 1, getCount: () => 1 })).toEqual(undefined)
  })
})
