import { createSystemClock } from '@catkinferry/core.clock'
import { createLogger } from '@catkinferry/core.logger'
import { createMetrics } from '@catkinferry/core.metrics'
import { findFreePort } from '@catkinferry/testing.fakes'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createPeerLinks } from '@catkinferry/wire.peer-links'
import { expect } from 'earl'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, it } from 'node:test'
import { createDirectory } from '@catkinferry/fleet.directory'
import type { DirectoryMessage } from '@catkinferry/fleet.directory'
import { createFleetNode } from '../src/fleetNode.ts'

/** A message without its fields, or of a kind that the host does not handle, made the handler throw and ended the process. */
describe('a host of the fleet', () => {
  it('goes on after messages that it cannot handle', async () => {
    const lines: string[] = []
    const crashes: unknown[] = []
    const clock = createSystemClock()
    const logger = createLogger({ level: 'info', write: line => lines.push(line) })
    const directory = createDirectory({ getEntryCount: () => 1, listCoreHosts: () => [], epoch: 1, getLeader: () => undefined, onRoutes: () => undefined })
    const host = `127.0.0.1:${await findFreePort()}`
    const node = createFleetNode({
      host,
      clock,
      logger,
      metrics: createMetrics({ prefix: '', onError: () => undefined }),
      systems: { receive: (from, message, context) => directory.receive(from, message as DirectoryMessage, context), run: directory.run, getNextAt: () => Infinity, listPeers: () => [], handlePause: () => undefined },
      onCrash: error => { crashes.push(error) }
    })
    await node.open()
    const sender = `127.0.0.1:${await findFreePort()}`
    const links = createPeerLinks({ self: sender, group: 'fleet', peers: [{ host, address: host }], listen: sender, allowInsecure: true, acceptUnknown: true, logger, onMessage: () => undefined, onLink: () => undefined })
    await links.open()
    await sleep(200)
    for (const message of [{ kind: 'fleet.routes' }, { kind: 'fleet.announced', after: 0, versions: 7 }, { kind: 'command.submit' }, { kind: 'fleet.load', whole: true }, { kind: 'no.such' }]) links.send(host, message as unknown as PeerMessage)
    links.send(host, { kind: 'fleet.announced', after: 0, sequence: 4, versions: [['m', 'a', 2]] })
    for (let count = 0; count < 40 && directory.getHeld().announcedSequence !== 4; count += 1) await sleep(50)
    await links.close()
    await node.close()
    expect([crashes, directory.getAnnounced('m', 'a')?.version]).toEqual([[], 2])
    expect(lines.filter(line => line.includes('dropped a message that cannot be handled')).length).toEqual(5)
  })
})
