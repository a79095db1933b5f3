import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createZonePump } from './zonePump.ts'

describe('createZoneCoordination', () => {
  for (const hosts of [1, 2, 3, 5, 8]) {
    it(`gives a zone of ${hosts} hosts a lease holder, owners and a grant after a load`, () => {
      const pump = createZonePump({ hosts, seed: hosts })
      pump.addEngine({ endpoint: 'e1' })
      pump.addEngine({ endpoint: 'e2' })
      pump.runFor(8_000)
      const last = `z1h${hosts}`
      expect(pump.findHolder()).not.toEqual(undefined)
      expect(pump.hosts.get(last)?.coordination.view.listHosts().length).toEqual(hosts)
      pump.ask({ host: last, endpoint: 'e1', adapterKey: 'a@1', attemptId: 'r.1' })
      pump.runFor(1_000)
      expect(pump.grants.map(({ message }) => message.kind)).toEqual(['grant.given'])
      pump.runFor(1_000)
      expect(pump.hosts.get(last)?.coordination.view.getEndpoint('e1')?.isResident('a@1')).toEqual(true)
      expect(pump.violations).toEqual([])
    })
  }
})
