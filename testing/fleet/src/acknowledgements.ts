/**
 * An operator who sends configurations and versions of adapters to core hosts that are cut off, paused, slow and restarted, on
 * virtual time; then calm begins. Like operators of a platform, it asks a random host, takes the next one after a refusal or a second
 * without an answer, with increasing backoff, keeps at most eight orders in progress, and loses some of the answers before the calm.
 * Calm begins once the links that were cut may be up again.
 */
import type { HostId } from '@catkinferry/core.types'
import { createRandom } from '@catkinferry/core.random'
import type { Random } from '@catkinferry/core.random'
import type { Command } from '@catkinferry/wire.messages'
import { buildTable, createSimulatedFleet } from './simulatedFleet.ts'
import type { SimulatedFleet } from './simulatedFleet.ts'

const START_MS = 5_000
const SEED_CORES = 3
const TROUBLE_MS = 12_000
const CALM_MS = 14_000
/** Orders that are sent later than this in the calm would not have their whole time. */
const LAST_ORDER_CALM_MS = 6_000
const MAX_IN_PROGRESS = 8
const ANSWER_WAIT_MS = 1_000
const FIRST_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 2_000
const LOST_ANSWERS = 0.05
/** Interval of the commands that load the log, where it is loaded. */
const LOAD_INTERVAL_MS = 20

export interface AcknowledgementOptions {
  readonly seed: number
  /** As in the operator API. */
  readonly commandTimeoutMs: number
  /** Longest time until a link that was cut is up again. */
  readonly maxLinkReturnMs: number
  /** Core hosts beyond the three that the settings name; they join, and the leader makes voters of them. Absent: all are named. */
  readonly joiningCores?: number
  readonly onEvent?: (text: string) => void
}

export interface OrderTimes {
  readonly name: string
  readonly sentAt: number
  readonly calmAt: number
  /** Time from the order, or from the beginning of calm if that is later, to its acknowledgement; Infinity without one. */
  ackMs: number
  tries: number
}

interface Agenda {
  readonly add: (afterMs: number, act: () => void) => void
  readonly runDue: () => void
}

function createAgenda (getNow: () => number): Agenda {
  let items: Array<{ readonly at: number, readonly act: () => void }> = []
  return {
    add: (afterMs, act) => { items.push({ at: getNow() + afterMs, act }) },
    runDue: () => {
      const due = items.filter(({ at }) => at <= getNow()).toSorted((a, b) => a.at - b.at)
      items = items.filter(({ at }) => at > getNow())
      for (const { act } of due) act()
    }
  }
}

interface Parts {
  readonly fleet: SimulatedFleet
  readonly agenda: Agenda
  readonly random: Random
  readonly cores: readonly HostId[]
  readonly maxLinkReturnMs: number
  readonly report: (text: string) => void
}

/** Sends one order until it is acknowledged. */
function sendOrder ({ fleet, agenda, random, cores, report }: Parts, opts: { readonly order: OrderTimes, readonly command: Command, readonly timeoutMs: number, readonly onEnd: () => void }): void {
  const { order, command, timeoutMs, onEnd } = opts
  let last: HostId | undefined
  let isEnded = false
  const attempt = (): void => {
    const host = random.pick(cores.filter(core => core !== last))
    last = host
    order.tries += 1
    report(`${order.name} -> ${host}, leader ${fleet.findLeader()}`)
    const isLost = random.nextFraction() < LOST_ANSWERS && fleet.getNow() < order.calmAt
    let isAnswered = false
    const takeNext = (): void => {
      if (isAnswered || isEnded) return
      isAnswered = true
      agenda.add(Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** (order.tries - 1)), attempt)
    }
    agenda.add(ANSWER_WAIT_MS, takeNext)
    fleet.submit(host, command, timeoutMs, result => {
      report(`${order.name} <- ${host} ${JSON.stringify(result)}${isLost ? ' lost' : ''}${isAnswered ? ' late' : ''}`)
      if (isLost || isAnswered || isEnded) return
      if (result.kind !== 'outcome') {
        takeNext()
        return
      }
      isEnded = true
      order.ackMs = fleet.getNow() - Math.max(order.sentAt, order.calmAt)
      onEnd()
    })
  }
  attempt()
}

/** Pauses as short as those that a sound host may show, twice in a row. */
function stopTwice ({ fleet, agenda, random, report }: Parts, host: HostId): void {
  const stop = (): void => {
    const pauseMs = random.nextInt(400, 1_500)
    report(`${host} pauses for ${pauseMs} ms`)
    fleet.stop(host)
    agenda.add(pauseMs, () => fleet.resumeTimersFirst(host))
  }
  stop()
  agenda.add(1_500 + random.nextInt(50, 1_000), stop)
}

function findLeader ({ fleet, random, cores }: Parts): HostId {
  return fleet.findLeader() ?? random.pick(cores)
}

function disconnectFromOthers ({ fleet, cores }: Parts, side: readonly HostId[]): void {
  for (const from of side) for (const to of cores) if (!side.includes(to)) fleet.cut(from, to)
}

function restoreLinks ({ fleet, random, maxLinkReturnMs }: Parts): void {
  if (maxLinkReturnMs === 0) fleet.heal()
  else fleet.healLinks(() => random.nextInt(0, maxLinkReturnMs))
}

const TROUBLES: Readonly<Record<string, (parts: Parts) => void>> = {
  halves: parts => {
    const first = parts.random.nextInt(0, parts.cores.length - 1)
    disconnectFromOthers(parts, parts.cores.filter((_, index) => (index + first) % parts.cores.length < parts.cores.length / 2))
    parts.agenda.add(parts.random.nextInt(500, 9_000), () => restoreLinks(parts))
  },
  single: parts => {
    disconnectFromOthers(parts, [parts.random.pick(parts.cores)])
    parts.agenda.add(parts.random.nextInt(300, 3_000), () => restoreLinks(parts))
  },
  leaderCut: parts => {
    disconnectFromOthers(parts, [findLeader(parts)])
    parts.agenda.add(parts.random.nextInt(300, 3_000), () => restoreLinks(parts))
  },
  leaderPause: parts => stopTwice(parts, findLeader(parts)),
  pause: parts => stopTwice(parts, parts.random.pick(parts.cores)),
  neededPause: parts => {
    const leader = findLeader(parts)
    const others = parts.cores.filter(core => core !== leader)
    const minority = Math.floor((parts.cores.length - 1) / 2)
    for (const core of others.slice(0, minority)) disconnectFromOthers(parts, [core])
    parts.agenda.add(parts.random.nextInt(1_000, 4_000), () => restoreLinks(parts))
    stopTwice(parts, others[minority]!)
  },
  slow: parts => {
    const host = findLeader(parts)
    parts.fleet.setTurnMs(host, parts.random.nextInt(100, 700))
    parts.agenda.add(parts.random.nextInt(1_000, 4_000), () => parts.fleet.setTurnMs(host, 0))
  },
  restart: parts => {
    const host = parts.random.pick(parts.cores)
    parts.fleet.stop(host)
    parts.agenda.add(parts.random.nextInt(200, 2_000), () => parts.fleet.restart(host))
  }
}

/** Sends commands as hosts do, which share the log with those of operators. */
function loadLog (parts: Parts): void {
  const { fleet, agenda, random, cores } = parts
  fleet.submit(random.pick(cores), { kind: 'endpoint.fact', endpoint: `e${random.nextInt(0, 500)}`, checksFencing: random.nextInt(0, 1) === 1 }, 2_000, () => undefined)
  agenda.add(LOAD_INTERVAL_MS, () => loadLog(parts))
}

/** Plays one seed. Odd seeds have five core hosts, others three, if none joins; every third loads the log; every fourth pauses hosts in the calm, too. */
export function measureAcknowledgements ({ seed, commandTimeoutMs, maxLinkReturnMs, joiningCores, onEvent }: AcknowledgementOptions): readonly OrderTimes[] {
  const random = createRandom(seed)
  const cores = Array.from({ length: joiningCores === undefined ? seed % 2 === 0 ? 3 : 5 : SEED_CORES + joiningCores }, (_, index) => `c${index}`)
  const fleet = createSimulatedFleet({ entries: [], cores, seeds: joiningCores === undefined ? cores : cores.slice(0, SEED_CORES), revocationMs: undefined, seed })
  const agenda = createAgenda(fleet.getNow)
  const report = (text: string): void => onEvent?.(`${fleet.getNow()} ${text}`)
  const parts: Parts = { fleet, agenda, random, cores, maxLinkReturnMs, report }
  const troubles = createAgenda(fleet.getNow)
  const orders: OrderTimes[] = []
  const calmAt = START_MS + TROUBLE_MS + maxLinkReturnMs
  let inProgress = 0
  let version = 1

  function addOrders (): void {
    if (fleet.getNow() > calmAt + LAST_ORDER_CALM_MS) return
    if (inProgress < MAX_IN_PROGRESS) {
      inProgress += 1
      version += random.nextInt(1, 3)
      const isTable = random.nextInt(0, 1) === 0
      const command: Command = isTable ? { kind: 'routes.replace', table: buildTable(version), document: '' } : { kind: 'adapter.announce', model: 'm', adapter: `a${random.nextInt(0, 9)}`, version }
      const order: OrderTimes = { name: `${command.kind} ${version}`, sentAt: fleet.getNow(), calmAt, ackMs: Infinity, tries: 0 }
      orders.push(order)
      sendOrder(parts, { order, command, timeoutMs: commandTimeoutMs, onEnd: () => { inProgress -= 1 } })
    }
    agenda.add(random.nextInt(100, 800), addOrders)
  }

  function addTrouble (): void {
    TROUBLES[random.pick(Object.keys(TROUBLES))]!({ ...parts, agenda: troubles })
    troubles.add(random.nextInt(300, 3_000), addTrouble)
  }

  function endTroubles (): void {
    restoreLinks(parts)
    for (const core of cores) {
      fleet.setTurnMs(core, 0)
      fleet.resumeTimersFirst(core)
    }
  }

  function stopInCalm (): void {
    stopTwice(parts, random.nextInt(0, 1) === 0 ? findLeader(parts) : random.pick(cores))
    agenda.add(random.nextInt(4_000, 6_000), stopInCalm)
  }

  agenda.add(START_MS, addOrders)
  troubles.add(START_MS, addTrouble)
  if (seed % 3 === 0) agenda.add(START_MS, () => loadLog(parts))
  fleet.runFor(START_MS + TROUBLE_MS, () => {
    troubles.runDue()
    agenda.runDue()
  })
  endTroubles()
  fleet.runFor(maxLinkReturnMs, agenda.runDue)
  if (seed % 4 === 0) stopInCalm()
  fleet.runFor(CALM_MS, agenda.runDue)
  report(`${fleet.logs.filter(({ message }) => message === 'voter membership change proposed').length} changes of voters`)
  return orders
}
