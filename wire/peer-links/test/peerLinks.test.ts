import { once } from 'node:events'
import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises'
import { connect, createServer } from 'node:net'
import type { Server, Socket, AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, it } from 'node:test'
import { CatkinferryError } from '@catkinferry/core.errors'
import { createLogger } from '@catkinferry/core.logger'
import { waitFor } from '@catkinferry/testing.fakes'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { expect } from 'earl'
import { generate } from 'selfsigned'
import { createPeerLinks } from '../src/index.ts'
import type { PeerLinks, PeerLinksOptions } from '../src/index.ts'

const closers: (() => Promise<unknown>)[] = []
afterEach(async () => { for (const close of closers.splice(0).reverse()) await close() })

interface Host {
  readonly links: PeerLinks
  readonly received: { from: string, message: PeerMessage }[]
  readonly lines: string[]
  readonly port: number
}

const createMessage = (round: number): PeerMessage => ({ kind: 'settings.ask', after: round })

async function createHost (self: string, opts: Partial<PeerLinksOptions> = {}): Promise<Host> {
  const received: Host['received'] = []
  const lines: string[] = []
  const links = createPeerLinks({
    self,
    group: 'g',
    peers: [],
    listen: '127.0.0.1:0',
    onMessage: (from, message) => { received.push({ from, message }) },
    onLink: () => undefined,
    logger: createLogger({ level: 'debug', write: line => { lines.push(line) } }),
    pingIntervalMs: 20,
    silenceTimeoutMs: 150,
    ...opts
  })
  closers.push(() => links.close())
  return { links, received, lines, port: await links.open() }
}

/** Forwards bytes; `silence` makes it discard those of the connections that are open by then. */
async function createProxy (port: number): Promise<{ port: number, silence: () => void, getConnections: () => number }> {
  const pairs: [Socket, Socket][] = []
  const server: Server = createServer(inner => {
    const outer = connect(port, '127.0.0.1')
    pairs.push([inner, outer])
    inner.pipe(outer)
    outer.pipe(inner)
    for (const socket of [inner, outer]) socket.on('error', () => undefined)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  closers.push(async () => {
    for (const socket of pairs.flat()) socket.destroy()
    server.close()
  })
  return {
    port: (server.address() as AddressInfo).port,
    getConnections: () => pairs.length,
    silence: () => {
      for (const [inner, outer] of pairs) {
        inner.unpipe(outer)
        outer.unpipe(inner)
        inner.resume()
        outer.resume()
      }
    }
  }
}

async function createTlsFolder (): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'peer-links-'))
  closers.push(() => rm(folder, { recursive: true, force: true }))
  return folder
}

function createCertificate (host: string) {
  return generate([{ name: 'commonName', value: host }], { keySize: 2048, algorithm: 'sha256', extensions: [{ name: 'basicConstraints', cA: true }] })
}

async function writeTls (folder: string, name: string, own: ReturnType<typeof createCertificate>, trusted: readonly ReturnType<typeof createCertificate>[]) {
  const tls = { certFile: join(folder, `${name}.cert`), keyFile: join(folder, `${name}.key`), caFile: join(folder, `${name}.ca`) }
  await writeFile(tls.certFile, own.cert)
  await writeFile(tls.keyFile, own.private)
  await writeFile(tls.caFile, trusted.map(({ cert }) => cert).join('\n'))
  return tls
}

/** What replaces one of the files while the others stay. */
const UNFIT_FILES: readonly [state: string, file: 'certFile' | 'keyFile' | 'caFile', getText: (next: ReturnType<typeof createCertificate>) => string][] = [
  ['the key is not that of the certificate', 'certFile', next => next.cert],
  ['the certificate file is empty', 'certFile', () => ''],
  ['the key file is empty', 'keyFile', () => ''],
  ['the file of trusted certificates is empty', 'caFile', () => ''],
  ['the file of trusted certificates is half written', 'caFile', next => `${next.cert}\n${next.cert.slice(0, next.cert.length / 2)}`]
]

describe('peer links', () => {
  it('deliver messages in order and notify when they are up', async () => {
    const b = await createHost('b', { peers: [{ host: 'a', address: '127.0.0.1:1' }] })
    const ups: boolean[] = []
    const a = await createHost('a', { peers: [{ host: 'b', address: `127.0.0.1:${b.port}` }], onLink: (_host, up) => { ups.push(up) } })
    for (let round = 0; round < 100; round++) a.links.send('b', createMessage(round))
    await waitFor('all messages arrive', () => b.received.length === 100)
    expect(b.received.map(({ from, message }) => [from, 'after' in message && message.after])).toEqual(Array.from({ length: 100 }, (_, round) => ['a', round]))
    expect(ups).toEqual([true])
  })

  it('on which nothing is received are destroyed and reopened', async () => {
    const b = await createHost('b', { peers: [{ host: 'a', address: '127.0.0.1:1' }] })
    const proxy = await createProxy(b.port)
    const a = await createHost('a', { peers: [{ host: 'b', address: `127.0.0.1:${proxy.port}` }] })
    a.links.send('b', createMessage(1))
    await waitFor('a message arrives', () => b.received.length === 1)
    proxy.silence()
    await waitFor('the link is opened again', () => a.links.listStatus()[0]?.opened === 2)
    a.links.send('b', createMessage(2))
    await waitFor('the second message arrives', () => b.received.length === 2)
    expect(proxy.getConnections()).toEqual(2)
    expect(a.lines.some(line => line.includes('nothing was received for'))).toEqual(true)
  })

  it('are reopened after the peer restarts', async () => {
    const peers = [{ host: 'a', address: '127.0.0.1:1' }]
    const first = await createHost('b', { peers })
    const a = await createHost('a', { peers: [{ host: 'b', address: `127.0.0.1:${first.port}` }] })
    a.links.send('b', createMessage(1))
    await waitFor('a message arrives', () => first.received.length === 1)
    await first.links.close()
    await waitFor('the link is down', () => a.links.listStatus()[0]?.up === false)
    const second = await createHost('b', { peers, listen: `127.0.0.1:${first.port}` })
    await waitFor('a message arrives after the restart', () => {
      a.links.send('b', createMessage(2))
      return second.received.length > 0
    })
  })

  it('refuse a host of another group, an unknown host, and bytes that are not frames', async () => {
    const b = await createHost('b', { peers: [{ host: 'a', address: '127.0.0.1:1' }] })
    const address = `127.0.0.1:${b.port}`
    const foreign = await createHost('a', { group: 'other', peers: [{ host: 'b', address }] })
    const unknown = await createHost('c', { peers: [{ host: 'b', address }] })
    foreign.links.send('b', createMessage(1))
    unknown.links.send('b', createMessage(1))
    const raw = connect(b.port, '127.0.0.1', () => raw.write('GET / HTTP/1.1\r\n\r\n'))
    raw.on('error', () => undefined)
    for (const reason of ["it belongs to group 'other', not to 'g'", "host 'c' is not in the settings", 'is over the limit of']) {
      await waitFor(`a refusal because ${reason}`, () => b.lines.some(line => line.includes(reason)))
    }
    expect(b.received).toEqual([])
  })

  it('drop and count the messages that a full queue has no room for', async () => {
    const a = await createHost('a', { peers: [{ host: 'b', address: '127.0.0.1:1' }] })
    const message: PeerMessage = { kind: 'settings.part', epoch: 1, revision: 1, part: 0, parts: 1, nodes: [{ path: 'x'.repeat(1024 * 1024), nodeRevision: 1 }] }
    const accepted = Array.from({ length: 6 }, () => a.links.send('b', message))
    expect(accepted).toEqual([true, true, true, false, false, false])
    expect(a.links.listStatus()[0]?.dropped).toEqual(3)
  })

  it('refuse an address beyond loopback without certificates', async () => {
    let code = ''
    await createHost('a', { listen: '0.0.0.0:0' }).catch((error: unknown) => { code = error instanceof CatkinferryError ? error.failure.code : String(error) })
    expect(code).toEqual('ERR_CATKINFERRY_BAD_SETTINGS')
  })
})

describe('peer links with certificates', () => {
  it('work between hosts that trust each other, and refuse a certificate of another host', async () => {
    const folder = await createTlsFolder()
    const [certA, certB] = [createCertificate('a'), createCertificate('b')]
    const tlsA = await writeTls(folder, 'a', certA, [certA, certB])
    const tlsB = await writeTls(folder, 'b', certB, [certA, certB])
    const b = await createHost('b', { tls: tlsB, peers: [{ host: 'a', address: '127.0.0.1:1' }, { host: 'c', address: '127.0.0.1:1' }] })
    const peers = [{ host: 'b', address: `127.0.0.1:${b.port}` }]
    const a = await createHost('a', { tls: tlsA, peers })
    a.links.send('b', createMessage(1))
    await waitFor('a message arrives', () => b.received.length === 1)
    const impostor = await createHost('c', { tls: tlsA, peers })
    impostor.links.send('b', createMessage(2))
    await waitFor('the impostor is refused', () => b.lines.some(line => line.includes("the certificate does not name host 'c'")))
    expect(b.received.length).toEqual(1)
  })

  it('refuse a host without a trusted certificate, and accept it after the certificate files have changed', async () => {
    const folder = await createTlsFolder()
    const [certA, certB] = [createCertificate('a'), createCertificate('b')]
    const tlsA = await writeTls(folder, 'a', certA, [certA, certB])
    const tlsB = await writeTls(folder, 'b', certB, [certB])
    const b = await createHost('b', { tls: tlsB, certificateCheckMs: 20, peers: [{ host: 'a', address: '127.0.0.1:1' }] })
    const a = await createHost('a', { tls: tlsA, peers: [{ host: 'b', address: `127.0.0.1:${b.port}` }] })
    a.links.send('b', createMessage(1))
    await waitFor('the handshake fails', () => b.lines.some(line => line.includes('the TLS handshake of a peer failed')))
    expect(b.received).toEqual([])
    await writeTls(folder, 'b', certB, [certA, certB])
    await waitFor('a message arrives after the change of the certificates', () => {
      a.links.send('b', createMessage(2))
      return b.received.length > 0
    })
  })

  // Guards against a process that ends, or accepts no peer, because it read certificate files that were being replaced.
  for (const [state, file, getText] of UNFIT_FILES) {
    it(`keep the certificate in use while ${state}, with one log line, and take the next one that fits`, async () => {
      const folder = await createTlsFolder()
      const [certA, certB, nextB] = [createCertificate('a'), createCertificate('b'), createCertificate('b')]
      const tlsA = await writeTls(folder, 'a', certA, [certA, certB, nextB])
      const tlsB = await writeTls(folder, 'b', certB, [certA])
      const b = await createHost('b', { tls: tlsB, certificateCheckMs: 20, peers: [{ host: 'a', address: '127.0.0.1:1' }] })
      const countLines = (text: string): number => b.lines.filter(line => line.includes(text)).length
      await writeFile(join(folder, 'next'), getText(nextB))
      await rename(join(folder, 'next'), tlsB[file])
      await waitFor('the files are refused', () => countLines('cannot use the certificate files') > 0)
      const a = await createHost('a', { tls: tlsA, peers: [{ host: 'b', address: `127.0.0.1:${b.port}` }] })
      a.links.send('b', createMessage(1))
      await waitFor('a message arrives', () => b.received.length === 1)
      expect([countLines('cannot use the certificate files'), countLines('certificates were updated')]).toEqual([1, 0])
      await writeTls(folder, 'b', nextB, [certA])
      await waitFor('the next certificate is taken', () => countLines('certificates were updated') > 0)
      expect(countLines('certificates were updated')).toEqual(1)
    })

    // Guards against a host that starts without a certificate, or with the trust of the system, because it read a file that was being replaced.
    it(`do not start while ${state}`, async () => {
      const folder = await createTlsFolder()
      const [own, next] = [createCertificate('a'), createCertificate('a')]
      const tls = await writeTls(folder, 'a', own, [own])
      await writeFile(tls[file], getText(next))
      const started = await createHost('a', { tls }).then(() => 'started', () => 'refused')
      expect(started).toEqual('refused')
    })
  }
})
