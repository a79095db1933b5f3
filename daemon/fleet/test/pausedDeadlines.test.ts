import { createSystemClock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import { createDirectory } from '@catkinferry/fleet.directory'
import type { Directory, DirectoryMessage } from '@catkinferry/fleet.directory'
import { findFreePort, waitFor } from '@catkinferry/testing.fakes'
import type { FleetMessage, PeerMessage } from '@catkinferry/wire.messages'
import { createPeerLinks } from '@catkinferry/wire.peer-links'
import type { PeerLinks } from '@catkinferry/wire.peer-links'
import { expect } from 'earl'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { createFleetNode } from '../src/fleetNode.ts'
import type { FleetNode } from '../src/fleetNode.ts'

const DEADLINE_MS = 300
const PAUSE_MS = 500

describe('a host whose event loop stands still past the deadline of a question to the leader', () => {
  let node: FleetNode | undefined
  let leaderLinks: PeerLinks | undefined

  afterEach(async () => {
    await leaderLinks?.close()
    await node?.close()
  })

  /** Starts a host, and a leader that answers its questions just before the event loop stands still. */
  async function start (buildAnswer: (message: FleetMessage) => FleetMessage | undefined): Promise<Directory> {
    const [host, leader] = [`127.0.0.1:${await findFreePort()}`, `127.0.0.1:${await findFreePort()}`]
    const logger = createLogger({ level: 'error', write: () => undefined })
    const directory = createDirectory({ getEntryCount: () => 1, listCoreHosts: () => [leader], epoch: 1, getLeader: () => leader, onRoutes: () => undefined })
    const started = createFleetNode({
      host,
      clock: createSystemClock(),
      logger,
      metrics: createMetrics({ prefix: '', onError: () => undefined }),
      systems: { receive: (from, message, context) => directory.receive(from, message as DirectoryMessage, context), run: directory.run, getNextAt: directory.getNextAt as () => number, listPeers: () => [leader], handlePause: () => undefined },
      onCrash: () => undefined
    })
    node = started
    const links = createPeerLinks({
      self: leader,
      group: 'fleet',
      peers: [{ host, address: host }],
      listen: leader,
      allowInsecure: true,
      acceptUnknown: true,
      logger,
      onMessage: (_from, message) => {
        const answer = buildAnswer(message as FleetMessage)
        if (answer === undefined) return
        // Sockets have been read when immediate callbacks run; timers come next.
        setImmediate(() => {
          links.send(host, answer as PeerMessage)
          for (const until = performance.now() + PAUSE_MS; performance.now() < until;);
        })
      },
      onLink: () => undefined
    })
    leaderLinks = links
    await links.open()
    await started.open()
    // A link is opened for its first message.
    links.send(host, { kind: 'fleet.announced', after: 0, sequence: 0, versions: [] })
    await waitFor('the link is up', () => links.listStatus().every(({ up }) => up))
    await sleep(100)
    return directory
  }

  // Guards against a request that is refused although its load was granted in time: its deadline was judged before the sockets were read.
  it('takes the grant of a load that has arrived', async () => {
    const directory = await start(message => message.kind === 'load.ask' ? { kind: 'load.given', askId: message.askId, endpoint: 'e1', adapterKey: 'm/a@1' } : undefined)
    const askedAt = createSystemClock().getMonotonicMs()
    const answer = await new Promise(resolve => {
      directory.requestLoad({ pool: 'p', model: 'm', adapter: 'a', priority: 0, avoid: [], onTimeUntil: askedAt + DEADLINE_MS, workId: undefined, askedAt, waitMs: DEADLINE_MS, deadlineAt: askedAt + DEADLINE_MS }, resolve)
    })
    expect(answer).toEqual({ kind: 'given', endpoint: 'e1', adapterKey: 'm/a@1' })
  })

  // Guards against a stream that is refused, or goes on at another version, although the leader has told the one that began it: the deadline was judged before the sockets were read.
  it('takes the answer on the version of a stream that has arrived', async () => {
    const directory = await start(message => message.kind === 'fleet.originAsk' ? { kind: 'fleet.originAnswer', askId: message.askId, softwareVersion: 'v1', versions: ['v1', 'v2'], isLeading: true } : undefined)
    const answer = await new Promise(resolve => {
      directory.askOrigin({ requestId: 'r1', pool: 'p', maxAgeMs: 1_000, rounds: 1, ownVersions: [], areVersionsNeeded: true, deadlineAt: createSystemClock().getMonotonicMs() + DEADLINE_MS }, resolve)
    })
    expect(answer).toEqual({ isAnswered: true, softwareVersion: 'v1', versions: ['v1', 'v2'] })
  })
})
