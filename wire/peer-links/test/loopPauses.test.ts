import { expect } from 'earl'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { createLogger } from '@catkinferry/core.logger'
import { waitFor } from '@catkinferry/testing.fakes'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createPeerLinks } from '../src/index.ts'
import type { PeerLinks } from '../src/index.ts'

const closers: PeerLinks[] = []
afterEach(async () => { for (const links of closers.splice(0).reverse()) await links.close() })

interface OpenLink {
  readonly sender: PeerLinks
  readonly received: readonly PeerMessage[]
  /** Lines of the log of both hosts. */
  readonly lines: readonly string[]
}

async function openLink (): Promise<OpenLink> {
  const lines: string[] = []
  const received: PeerMessage[] = []
  const create = (self: string): PeerLinks => {
    const links = createPeerLinks({ self, group: 'g', peers: [], listen: '127.0.0.1:0', allowInsecure: true, acceptUnknown: true, onMessage: (_from, message) => { received.push(message) }, onLink: () => undefined, logger: createLogger({ level: 'debug', write: line => { lines.push(line) } }), pingIntervalMs: 20, silenceTimeoutMs: 200 })
    closers.push(links)
    return links
  }
  const receiver = create('b')
  const port = await receiver.open()
  const sender = create('a')
  sender.setPeers([{ host: 'b', address: `127.0.0.1:${port}` }])
  sender.send('b', { kind: 'settings.ask', after: 1 })
  await waitFor('the first message arrives', () => received.length > 0)
  return { sender, received, lines }
}

async function sendAgain (sender: PeerLinks, received: readonly PeerMessage[]): Promise<void> {
  sender.send('b', { kind: 'settings.ask', after: 2 })
  await waitFor('the second message arrives', () => received.length >= 2)
}

function blockLoop (ms: number): void {
  for (const until = performance.now() + ms; performance.now() < until;);
}

describe('a peer link', () => {
  // Guards against hosts that drop their links after a pause of their own: the time of silence ran out before sockets were read.
  it('stays open through pauses of the event loop that are longer than the time of silence', async () => {
    const { sender, received, lines } = await openLink()
    for (let pause = 0; pause < 5; pause += 1) {
      await sleep(30 + pause * 7)
      await new Promise<void>(resolve => {
        setImmediate(() => {
          blockLoop(500)
          resolve()
        })
      })
    }
    await sleep(100)
    await sendAgain(sender, received)
    expect(lines.filter(line => line.includes('failed'))).toEqual([])
  })

  // Guards against hosts that drop their links if the pause comes between the timer of the check and the check itself.
  it('stays open if a long step of the event loop runs just before each check', async () => {
    const { sender, received, lines } = await openLink()
    for (let turn = 0; turn < 5; turn += 1) {
      await new Promise<void>(resolve => {
        setImmediate(() => {
          blockLoop(300)
          resolve()
        })
      })
    }
    await sleep(100)
    await sendAgain(sender, received)
    expect(lines.filter(line => line.includes('failed'))).toEqual([])
  })
})
