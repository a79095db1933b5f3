import { createEndpointHealthBoard } from '../src/endpointHealth.ts'
import { expect } from 'earl'
import { describe, it } from 'node:test'

const POOL = ['e1', 'e2', 'e3', 'e4']

function createStand () {
  const board = createEndpointHealthBoard()
  /** Hosts with requests, by endpoint. */
  const users = new Map<string, Set<string>>()
  return {
    board,
    /** Reports a host with one request at an endpoint. */
    tell: (host: string, endpoint: string, changes: { silent?: boolean, failed?: number, begun?: number, running?: number }, now: number) => {
      const { silent = false, failed = 0, begun = 1, running = 1 } = changes
      users.set(endpoint, (users.get(endpoint) ?? new Set()).add(host))
      board.receive(host, [{ endpoint, adapterKey: 'm/a@1', begun, running }], silent || failed > 0 ? [{ endpoint, failed, silent }] : [], now)
    },
    update: (now: number) => board.update({ getPool: () => 'p', listEndpoints: () => POOL, countUsers: endpoint => users.get(endpoint)?.size ?? 0 }, now).map(({ endpoint, suspect }) => `${endpoint} ${suspect}`)
  }
}

describe('createEndpointHealthBoard', () => {
  it('suspects an endpoint that most of the hosts with requests there report silent', () => {
    const { board, tell, update } = createStand()
    for (const host of ['h1', 'h2', 'h3']) tell(host, 'e1', { silent: true }, 100)
    tell('h4', 'e1', {}, 100)
    expect([update(110), board.isSuspect('e1'), board.isSuspect('e2')]).toEqual([['e1 true'], true, false])
  })

  it('suspects no endpoint on the report of a single host or a minority of hosts', () => {
    const { tell, update } = createStand()
    tell('h1', 'e1', { silent: true }, 100)
    expect(update(110)).toEqual([])
    for (const host of ['h3', 'h4', 'h5', 'h6']) tell(host, 'e1', {}, 120)
    tell('h2', 'e1', { silent: true }, 120)
    expect(update(130)).toEqual([])
  })

  it('suspects an endpoint whose requests fail more often than in the rest of its pool', () => {
    const { tell, update } = createStand()
    for (const endpoint of POOL) tell('h1', endpoint, { begun: 20, failed: endpoint === 'e2' ? 8 : 0 }, 100)
    expect(update(110)).toEqual(['e2 true'])
  })

  it('suspects no endpoint if all of a pool fail equally often', () => {
    const { tell, update } = createStand()
    for (const endpoint of POOL) tell('h1', endpoint, { begun: 20, failed: 9 }, 100)
    expect(update(110)).toEqual([])
  })

  it('ends suspicion after a while, and later each time the endpoint becomes suspect again', () => {
    const { tell, update } = createStand()
    const fail = (now: number): void => { for (const host of ['h1', 'h2']) tell(host, 'e1', { silent: true }, now) }
    fail(0)
    expect(update(0)).toEqual(['e1 true'])
    expect([update(990), update(1_600)]).toEqual([[], ['e1 false']])
    fail(1_700)
    expect(update(1_700)).toEqual(['e1 true'])
    expect([update(3_600), update(3_710)]).toEqual([[], ['e1 false']])
  })

  it('counts failures from zero after an endpoint becomes suspect', () => {
    const { tell, update } = createStand()
    for (const endpoint of POOL) tell('h1', endpoint, { begun: 20, failed: endpoint === 'e2' ? 8 : 0 }, 0)
    expect(update(10)).toEqual(['e2 true'])
    tell('h1', 'e2', { begun: 8, failed: 3 }, 500)
    expect(update(1_010)).toEqual(['e2 false'])
  })

  it('suspects at most half of a pool', () => {
    const { tell, update } = createStand()
    for (const endpoint of POOL) for (const host of ['h1', 'h2']) tell(`${host}${endpoint}`, endpoint, { silent: true }, 100)
    expect(update(110).length).toEqual(2)
  })

  it('drops the silence reported by a host if its next report does not repeat it', () => {
    const { board, tell, update } = createStand()
    tell('h1', 'e1', { silent: true }, 100)
    board.receive('h1', [], [], 150)
    tell('h2', 'e1', { silent: true }, 200)
    expect(update(210)).toEqual([])
  })
})
