import { createDirectory } from '@catkinferry/fleet.directory'
import type { LoadAnswer } from '@catkinferry/fleet.directory'
import type { RunContext } from '@catkinferry/host.events'
import type { FleetEndpoint, FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import type { RouteTable } from '@catkinferry/core.types'
import { expect } from 'earl'
import { describe, it } from 'node:test'

function createFixture () {
  const sent: Array<{ to: string, message: FleetMessage }> = []
  const versions: number[] = []
  let now = 0
  let leader: string | undefined = 'c1'
  const directory = createDirectory({ getEntryCount: () => 1, listCoreHosts: () => [], epoch: 1, getLeader: () => leader, onRoutes: ({ table }) => { versions.push(table.version) } })
  const getContext = (): RunContext => ({ now, wallNow: now, emit: () => undefined, send: (to: string, message: PeerMessage) => { sent.push({ to, message: message as FleetMessage }) } })
  return {
    directory,
    sent,
    versions,
    receive: (message: FleetMessage) => directory.receive('c1', message as never, getContext()),
    runFor: (ms: number) => { for (const end = now + ms; now < end; now += 10) directory.run(getContext()) },
    setLeader: (next: string | undefined) => { leader = next },
    getNow: () => now
  }
}

function buildRoutes (version: number): FleetMessage {
  const table: RouteTable = { version, routes: [], pools: [], limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
  return { kind: 'fleet.routes', table }
}

function buildRow (endpoint: string, resident: readonly string[] = []): FleetEndpoint {
  return { endpoint, kind: 'engine', pool: 'p', zone: 'z', region: 'r', address: '10.0.0.1:1', leaving: false, suspect: false, models: ['m'], resident }
}

function buildUpdate (changes: Partial<Extract<FleetMessage, { kind: 'fleet.endpoints' }>>): FleetMessage {
  return { kind: 'fleet.endpoints', term: 1, sequence: 1, whole: false, rows: [], gone: [], residency: [], ...changes }
}

describe('route table', () => {
  it('is never replaced by an older version', () => {
    const { receive, versions, directory } = createFixture()
    for (const version of [3, 2, 5, 5, 4]) receive(buildRoutes(version))
    expect([versions, directory.getHeld().routesVersion]).toEqual([[3, 5], 5])
  })
})

describe('endpoints', () => {
  it('are changed in sequence only, and replaced by a full update after a gap', () => {
    const { receive, directory } = createFixture()
    receive(buildUpdate({ whole: true, rows: [buildRow('e1')] }))
    receive(buildUpdate({ sequence: 2, residency: [{ endpoint: 'e1', adapterKey: 'm/a@1', resident: true }] }))
    receive(buildUpdate({ sequence: 4, gone: ['e1'] }))
    expect([directory.getHeld().endpointsSequence, directory.getEndpoint('e1')?.resident.has('m/a@1')]).toEqual([2, true])
    receive(buildUpdate({ sequence: 4, whole: true, rows: [buildRow('e2')] }))
    expect(directory.listEndpoints('p').map(({ endpoint }) => endpoint)).toEqual(['e2'])
  })

  // Guards against requests to an address or ID that Node.js throws for: a leader of an earlier release publishes odd entries of its list.
  it('that no request can be sent to are left out, and the others of the update are taken', () => {
    const { receive, directory } = createFixture()
    const odd = [{ address: '10.0.0.1:99999' }, { address: '10.0.0.1:0' }, { address: 'nowhere' }, { address: undefined }, { endpoint: 'odd\nid' }, { endpoint: '' }, { endpoint: 7 }].map((changes, index) => ({ ...buildRow(`odd-${index}`), ...changes }) as FleetEndpoint)
    receive(buildUpdate({ whole: true, rows: [...odd, buildRow('e1')] }))
    expect(directory.listEndpoints('p').map(({ endpoint }) => endpoint)).toEqual(['e1'])
    receive(buildUpdate({ sequence: 2, rows: [...odd, buildRow('e2')] }))
    expect([directory.getHeld().endpointsSequence, directory.listEndpoints('p').map(({ endpoint }) => endpoint)]).toEqual([2, ['e1', 'e2']])
  })

  it('that cannot be used any more are no longer listed', () => {
    const { receive, directory } = createFixture()
    receive(buildUpdate({ whole: true, rows: [buildRow('e1'), buildRow('e2')] }))
    receive(buildUpdate({ sequence: 2, rows: [{ ...buildRow('e1'), address: '10.0.0.1:99999' }] }))
    expect(directory.listEndpoints('p').map(({ endpoint }) => endpoint)).toEqual(['e2'])
  })

  it('are not taken from a former leader', () => {
    const { receive, directory } = createFixture()
    receive(buildUpdate({ term: 5, whole: true, rows: [buildRow('e1')] }))
    receive(buildUpdate({ term: 4, sequence: 9, whole: true, rows: [buildRow('e2')] }))
    expect(directory.listEndpoints('p').map(({ endpoint }) => endpoint)).toEqual(['e1'])
  })
})

describe('adapter versions', () => {
  it('are accepted in any order if none is missing, and the highest version is kept', () => {
    const { receive, directory } = createFixture()
    receive({ kind: 'fleet.announced', after: 0, sequence: 2, versions: [['m', 'a', 3]] })
    receive({ kind: 'fleet.announced', after: 0, sequence: 1, versions: [['m', 'a', 2]] })
    receive({ kind: 'fleet.announced', after: 5, sequence: 6, versions: [['m', 'a', 9]] })
    expect([directory.getAnnounced('m', 'a')?.version, directory.getHeld().announcedSequence]).toEqual([3, 2])
  })
})

describe('load requests', () => {
  const request = { pool: 'p', model: 'm', adapter: 'a', priority: 0, avoid: [], onTimeUntil: 900, workId: undefined, askedAt: 0, waitMs: 2_000, deadlineAt: 2_000 }

  it('are sent again to a new leader and answered once', () => {
    const fixture = createFixture()
    const answers: LoadAnswer[] = []
    fixture.directory.requestLoad(request, answer => answers.push(answer))
    fixture.runFor(100)
    fixture.setLeader('c2')
    fixture.runFor(100)
    expect(fixture.sent.filter(({ message }) => message.kind === 'load.ask').map(({ to }) => to)).toEqual(['c1', 'c2'])
    for (let count = 0; count < 2; count += 1) fixture.receive({ kind: 'load.given', askId: 1, endpoint: 'e1', adapterKey: 'm/a@1' })
    expect(answers).toEqual([{ kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' }])
  })

  // Guards against a refusal by a host that does not lead, which ended the wait with most of the deadline left as if the leader had refused the load.
  for (const { title, refusal, expected } of [
    { title: 'wait for the next leader while hosts answer that they do not lead', refusal: { isLeading: false }, expected: [{ kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' }] },
    { title: 'are refused at once when the leader refuses them and the wait for a load is nearly over', refusal: {}, expected: [{ kind: 'refused', reason: 'r', retryAfterMs: 300 }] }
  ]) {
    it(title, () => {
      const fixture = createFixture()
      const answers: LoadAnswer[] = []
      fixture.directory.requestLoad({ ...request, waitMs: 1_000 }, answer => answers.push(answer))
      fixture.runFor(800)
      fixture.receive({ kind: 'load.refused', askId: 1, reason: 'r', retryAfterMs: 300, ...refusal })
      fixture.runFor(100)
      fixture.receive({ kind: 'load.given', askId: 1, endpoint: 'e1', adapterKey: 'm/a@1' })
      expect(answers).toEqual(expected as LoadAnswer[])
    })
  }

  it('are refused at their deadline while hosts answer that they do not lead', () => {
    const fixture = createFixture()
    const answers: LoadAnswer[] = []
    fixture.directory.requestLoad({ ...request, waitMs: 1_000 }, answer => answers.push(answer))
    const refuseFor = (ms: number): void => {
      for (const until = fixture.getNow() + ms; fixture.getNow() < until; fixture.runFor(100)) fixture.receive({ kind: 'load.refused', askId: 1, reason: 'r', retryAfterMs: 300, isLeading: false })
    }
    refuseFor(1_900)
    expect(answers).toEqual([])
    refuseFor(200)
    expect(answers.map(({ kind }) => kind)).toEqual(['refused'])
  })

  it('are refused at their deadline without a leader, and do not keep the run loop busy', () => {
    const fixture = createFixture()
    const answers: LoadAnswer[] = []
    fixture.setLeader(undefined)
    fixture.directory.requestLoad(request, answer => answers.push(answer))
    fixture.runFor(20)
    expect((fixture.directory.getNextAt() ?? 0) > fixture.getNow()).toEqual(true)
    fixture.runFor(2_100)
    expect(answers.map(({ kind }) => kind)).toEqual(['refused'])
  })
})

describe('departures that endpoints announce', () => {
  it('are reported until the leader lists the instance as leaving, also to a new leader with an older list', () => {
    const { receive, directory, runFor, sent, setLeader } = createFixture()
    const countReports = (to: string): number => sent.filter(row => row.to === to && row.message.kind === 'fleet.use' && row.message.health?.some(({ leaving, bornAt }) => leaving === true && bornAt === 7)).length
    receive(buildUpdate({ whole: true, rows: [{ ...buildRow('e1'), bornAt: 7 }] }))
    directory.recordLeaving('e1', 7)
    runFor(1_000)
    expect(countReports('c1') >= 2).toEqual(true)
    receive(buildUpdate({ sequence: 2, rows: [{ ...buildRow('e1'), bornAt: 7, leaving: true }] }))
    const before = countReports('c1')
    runFor(1_000)
    expect(countReports('c1')).toEqual(before)
    setLeader('c2')
    receive(buildUpdate({ term: 2, whole: true, rows: [{ ...buildRow('e1'), bornAt: 7 }] }))
    runFor(1_000)
    expect(countReports('c2') >= 2).toEqual(true)
  })

  it('are not reported for the next instance', () => {
    const { receive, directory, runFor, sent } = createFixture()
    receive(buildUpdate({ whole: true, rows: [{ ...buildRow('e1'), bornAt: 8 }] }))
    directory.recordLeaving('e1', 7)
    runFor(1_000)
    expect(sent.filter(({ message }) => message.kind === 'fleet.use')).toEqual([])
  })
})

describe('request limits that endpoints name', () => {
  it('are reported to the leader, the latest of each endpoint, and received from it by the clock of this host', () => {
    const { receive, directory, runFor, sent, getNow } = createFixture()
    directory.recordLimit('e1', 7, { perSecond: 2, at: getNow() - 100 })
    directory.recordLimit('e1', 7, { perSecond: 3, at: getNow() })
    directory.recordLimit('e1', 7, { at: getNow() - 50 })
    runFor(1_000)
    const rows = sent.flatMap(({ message }) => message.kind === 'fleet.use' ? message.health ?? [] : [])
    expect(rows.map(({ endpoint, limit, limitBornAt }) => [endpoint, limit?.perSecond, limitBornAt])).toEqual([['e1', 3, 7]])
    receive(buildUpdate({ whole: true, rows: [{ ...buildRow('e1'), bornAt: 7, limit: { perSecond: 3, agoMs: 400 } }] }))
    expect(directory.getEndpoint('e1')?.limit).toEqual({ perSecond: 3, at: getNow() - 400 })
  })
})

describe('usage reports', () => {
  it('count begun and running requests, and include each ended request once', () => {
    const fixture = createFixture()
    fixture.directory.recordBegun('e1', 'm/a@1')
    fixture.runFor(600)
    fixture.directory.recordEnded('e1', 'm/a@1')
    fixture.runFor(1_500)
    const reports = fixture.sent.flatMap(({ message }) => message.kind === 'fleet.use' ? message.uses : [])
    expect(reports).toEqual([
      { endpoint: 'e1', adapterKey: 'm/a@1', begun: 1, running: 1 },
      { endpoint: 'e1', adapterKey: 'm/a@1', begun: 0, running: 1 },
      { endpoint: 'e1', adapterKey: 'm/a@1', begun: 0, running: 0 }
    ])
  })
})
