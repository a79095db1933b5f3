/** Start of zones of several sizes: a lease holder, owners and a first grant. */
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createZoneSimulation } from './zoneSimulation.ts'

describe('createZoneCoordination', () => {
  for (const hosts of [1, 2, 3, 5, 8]) {
    it(`gives a zone of ${hosts} hosts a lease holder, owners and a grant after a load`, () => {
      const simulation = createZoneSimulation({ hosts, seed: hosts })
      simulation.addEngine({ endpoint: 'e1' })
      simulation.addEngine({ endpoint: 'e2' })
      simulation.runFor(8_000)
      const last = `z1h${hosts}`
      expect(simulation.findHolder()).not.toEqual(undefined)
      expect(simulation.hosts.get(last)?.coordination.view.listHosts().length).toEqual(hosts)
      simulation.requestGrant({ host: last, endpoint: 'e1', adapterKey: 'a@1', attemptId: 'r.1' })
      simulation.runFor(1_000)
      expect(simulation.grants.map(({ message }) => message.kind)).toEqual(['grant.given'])
      simulation.runFor(1_000)
      expect(simulation.hosts.get(last)?.coordination.view.getEndpoint('e1')?.isResident('a@1')).toEqual(true)
      expect(simulation.violations).toEqual([])
    })
  }
})
