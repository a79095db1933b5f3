import type { Route, RouteTable } from '@catkinferry/core.types'
import type { HostOutput, RunContext } from '@catkinferry/host.events'
import { buildTable } from '@catkinferry/testing.fleet'
import { install } from '@sinonjs/fake-timers'
import type { Clock as FakeClock } from '@sinonjs/fake-timers'
import { expect } from 'earl'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createConfirmationGate } from '../src/confirmationGate.ts'
import { createReadiness } from '../src/readiness.ts'

const REVOCATION_MS = 5_000
const MAX_AGE_MS = 4_800

let timers: FakeClock
beforeEach(() => { timers = install({ now: 1_000_000, toFake: ['setTimeout', 'clearTimeout'] }) })
afterEach(() => { timers.uninstall() })

/** A gate whose hellos are counted and answered by the tests. The monotonic clock may lag behind the wall clock. */
function createFixture (opts: { readonly revocationMs?: number, readonly table?: RouteTable | undefined } = {}) {
  const logs: string[] = []
  const monotonic = { lagMs: 0 }
  const counts = { hastened: 0 }
  let table: RouteTable | undefined = 'table' in opts ? opts.table : buildTable(3)
  let lastId: number | undefined
  const clock = { getMonotonicMs: () => timers.now - monotonic.lagMs, getWallMs: () => timers.now }
  const createContext = (): RunContext => ({ now: clock.getMonotonicMs(), wallNow: clock.getWallMs(), send: () => undefined, emit: (output: HostOutput) => { if (output.kind === 'log') logs.push(`${output.level} ${output.message}`) } })
  const gate = createConfirmationGate({
    revocationMs: 'revocationMs' in opts ? opts.revocationMs : REVOCATION_MS,
    firstId: 7,
    getTable: () => table,
    sendHellos: () => { counts.hastened += 1 },
    clock
  })
  const run = (): void => gate.run(createContext())
  const hello = (isLeader = true): number | undefined => {
    lastId = gate.createConfirmId('c1', isLeader, createContext())
    return lastId
  }
  const answer = (routesVersion = table?.version ?? 0): void => {
    if (lastId !== undefined) gate.receive('c1', { kind: 'fleet.confirmed', confirmId: lastId, routesVersion }, createContext())
    run()
  }
  run()
  return {
    gate,
    logs,
    counts,
    run,
    hello,
    answer,
    confirm: () => {
      hello()
      answer()
    },
    setTable: (next: RouteTable | undefined) => {
      table = next
      run()
    },
    pass: (ms: number) => timers.tick(ms),
    suspend: (ms: number) => {
      timers.setSystemTime(timers.now + ms)
      monotonic.lagMs += ms
    },
    pause: () => gate.recordPause(createContext()),
    /** Starts a wait; the result tells how long it lasted, or undefined while it lasts. */
    wait: (maxMs: number): { tookMs: number | undefined } => {
      const startedAt = clock.getMonotonicMs()
      const result: { tookMs: number | undefined } = { tookMs: undefined }
      void gate.waitUntilCurrent(maxMs).then(() => { result.tookMs = clock.getMonotonicMs() - startedAt })
      return result
    }
  }
}

/** Lets promises settle. */
const settle = (): Promise<void> => timers.tickAsync(0).then(() => undefined)

describe('the confirmation gate', () => {
  const { accounts: _accounts, ...withoutAccounts } = buildTable(3)
  for (const [name, opts] of [['strict_revoke', { revocationMs: undefined }], ['accounts in the route table', { table: withoutAccounts }], ['a route table', { table: undefined }]] as const) {
    /** A deployment that does not need confirmations must get the same messages as before, and must not be refused anything. */
    it(`asks for nothing and holds nothing up without ${name}`, async () => {
      const { gate, hello, wait, pass, run, pause, counts, logs } = createFixture(opts)
      const waiting = wait(250)
      await settle()
      pass(60_000)
      run()
      pause()
      expect([hello(), hello(false), gate.isCurrent(), gate.findUnreadyReason(), gate.getAgeMs(), waiting.tookMs, counts.hastened, logs]).toEqual([undefined, undefined, true, undefined, 0, 0, 0, []])
    })
  }

  /** Callers whose requests meet a host that has just thawed would get errors, though the answer is a few ms away. */
  it('lets requests wait for the answer after a pause, while hellos go out', async () => {
    const { gate, confirm, hello, answer, pass, pause, run, wait, counts } = createFixture()
    confirm()
    pass(30_000)
    const before = counts.hastened
    const waiting = wait(250)
    pause()
    run()
    await settle()
    expect([gate.isCurrent(), waiting.tookMs, counts.hastened > before]).toEqual([false, undefined, true])
    hello()
    pass(20)
    answer()
    await settle()
    expect([gate.isCurrent(), waiting.tookMs]).toEqual([true, 20])
  })

  /** The wait must end for callers, also if the host is cut off. */
  it('ends a wait after its time, and repeats hellos meanwhile because one may be lost', async () => {
    const { gate, confirm, pass, run, wait, counts } = createFixture()
    confirm()
    pass(30_000)
    const before = counts.hastened
    const waiting = wait(250)
    for (let count = 0; count < 30; count += 1) {
      await timers.tickAsync(10)
      run()
    }
    expect([waiting.tookMs, counts.hastened - before, gate.isCurrent()]).toEqual([250, 3, false])
  })

  /** On a host that is cut off for longer, each request would be delayed for nothing, and each would send hellos. */
  it('lets no request wait once the table has been too old for over a second', async () => {
    const { confirm, pass, run, wait, counts } = createFixture()
    confirm()
    pass(MAX_AGE_MS)
    run()
    pass(1_001)
    const before = counts.hastened
    const waiting = wait(250)
    await settle()
    expect([waiting.tookMs, counts.hastened - before]).toEqual([0, 0])
  })

  for (const how of ['frozen', 'suspended'] as const) {
    /** Such a host has been too old for long, but a confirmation is to be expected now. */
    it(`lets requests wait again when a host that was cut off was ${how} meanwhile`, async () => {
      const { confirm, pass, pause, suspend, run, wait, counts } = createFixture()
      confirm()
      pass(MAX_AGE_MS)
      run()
      pass(1_001)
      run()
      const before = counts.hastened
      if (how === 'frozen') {
        pass(20_000)
        pause()
      } else suspend(20_000)
      run()
      const waiting = wait(250)
      await settle()
      expect([waiting.tookMs, counts.hastened > before]).toEqual([undefined, true])
    })
  }

  /** The check must read the clocks itself: after a thaw, requests may be handled before the host's loop has run. */
  it('refuses at once after a suspension, before any run', () => {
    const { gate, confirm, suspend } = createFixture()
    confirm()
    expect(gate.isCurrent()).toEqual(true)
    suspend(10_000)
    expect(gate.isCurrent()).toEqual(false)
  })

  /** With the first accounts of a deployment, all hosts need a confirmation at the same time; waiting for the next hello would refuse callers for half a second. */
  it('asks at once when accounts appear in the route table', () => {
    const { gate, setTable, hello, answer, counts } = createFixture({ table: withoutAccounts })
    setTable(buildTable(4))
    expect([counts.hastened, gate.isCurrent()]).toEqual([1, false])
    hello()
    answer()
    expect(gate.isCurrent()).toEqual(true)
  })

  /** A core host that answers with a version which this host lacks shows that its table is outdated. */
  it('becomes current only with the version that was confirmed', () => {
    const { gate, hello, answer, setTable } = createFixture()
    hello()
    answer(4)
    expect(gate.isCurrent()).toEqual(false)
    setTable(buildTable(4))
    expect(gate.isCurrent()).toEqual(true)
  })

  /** Ids in the hellos to all core hosts would multiply the messages; without them, a host without the leader would never be confirmed. */
  it('asks core hosts other than the leader only above an age of 1.5 s', () => {
    const { confirm, hello, pass } = createFixture()
    expect(hello(false) !== undefined).toEqual(true)
    confirm()
    pass(1_500)
    expect(hello(false)).toEqual(undefined)
    pass(1)
    expect(hello(false) !== undefined).toEqual(true)
  })

  /** A line a request, or a line a run, would drop other lines; no line would hide why callers are refused. */
  it('logs once when the table becomes too old, and once when it is confirmed again', () => {
    const { confirm, pass, run, logs } = createFixture()
    for (let count = 0; count < 3; count += 1) confirm()
    for (let count = 0; count < 100; count += 1) {
      pass(100)
      run()
    }
    confirm()
    const confirmed = 'info the route table is confirmed'
    expect(logs).toEqual([confirmed, 'warn the route table was not confirmed in time; requests with keys are not served', confirmed])
  })

  /** The gauge shows trouble before it refuses callers, also on a host that was never confirmed. */
  it('reports the age, and before the first confirmation the time without one', () => {
    const { gate, hello, answer, pass } = createFixture()
    pass(700)
    const waited = gate.getAgeMs()
    hello()
    pass(40)
    answer()
    expect([waited, gate.getAgeMs()]).toEqual([700, 40])
  })
})

describe('readiness with accounts', () => {
  function createReady (table: RouteTable) {
    const fixture = createFixture({ table })
    const readiness = createReadiness({
      directory: { getHeld: () => ({ routesVersion: 3 }) as never, getEndpointCount: () => 1 },
      membership: { isRoutesVersionCurrent: () => true },
      findUnconfirmedReason: fixture.gate.findUnreadyReason,
      logger: { info: () => undefined } as never,
      page: { set: () => undefined } as never
    })
    return { ...fixture, readiness }
  }

  /** The load balancer would send callers to a host that answers all of them with 503. */
  it('is given from the first confirmation on, as long as it is young', () => {
    const { readiness, confirm, pass } = createReady(buildTable(3))
    const states = [readiness.check()]
    confirm()
    states.push(readiness.check())
    pass(MAX_AGE_MS - 1)
    states.push(readiness.check())
    pass(1)
    states.push(readiness.check())
    confirm()
    states.push(readiness.check())
    expect(states).toEqual([false, true, true, false, true])
  })

  /** A host whose routes are all public serves without keys; taking it out would only cost capacity. */
  it('is kept when all routes are public', () => {
    const table = buildTable(3)
    const { readiness, confirm, pass } = createReady({ ...table, routes: table.routes.map((route): Route => ({ ...route, isPublic: true })) })
    expect(readiness.check()).toEqual(false)
    confirm()
    pass(60_000)
    expect(readiness.check()).toEqual(true)
  })
})
