/** The links of a host to its peers: it opens one to each peer that it sends to, and receives messages on the links that peers open to it. */
import { isIP, BlockList } from 'node:net'
import { createSystemClock } from '@catkinferry/core.clock'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'
import type { Logger } from '@catkinferry/core.logger'
import { parseAddress } from '@catkinferry/core.types'
import type { HostId } from '@catkinferry/core.types'
import { encodeFrame } from '@catkinferry/wire.frames'
import { encodeCompact } from '@catkinferry/wire.messages'
import type { PeerMessage } from '@catkinferry/wire.messages'
import { createCertificateStore } from './certificates.ts'
import type { TlsFiles } from './certificates.ts'
import { CERTIFICATE_CHECK_MS, PING_INTERVAL_MS, SILENCE_TIMEOUT_MS } from './constants.ts'
import { createIncomingLinks } from './incomingLinks.ts'
import { createOutgoingLink } from './outgoingLink.ts'
import type { LinkStatus, OutgoingLink } from './outgoingLink.ts'

export interface PeerAddress {
  readonly host: HostId
  /** `ip:port` */
  readonly address: string
}

export interface PeerLinksOptions {
  readonly self: HostId
  readonly group: string
  readonly peers: readonly PeerAddress[]
  /** `ip:port` to listen on; port 0 picks a free one. */
  readonly listen: string
  /** Source IP of the links that this host opens; chosen by the operating system if absent. */
  readonly localIp?: string
  readonly tls?: TlsFiles
  /** Allows addresses beyond loopback without certificates. */
  readonly allowInsecure?: boolean
  /** Accepts messages from hosts of the group that are not among the peers, for fleets that form from seed nodes. */
  readonly acceptUnknown?: boolean
  readonly onMessage: (from: HostId, message: PeerMessage) => void
  readonly onLink: (host: HostId, up: boolean) => void
  readonly logger: Logger
  readonly pingIntervalMs?: number
  readonly silenceTimeoutMs?: number
  readonly certificateCheckMs?: number
}

export interface PeerLinks {
  /** Listens; resolves with the port. */
  readonly open: () => Promise<number>
  /** Queues a message; false when it was dropped because the peer is unknown, the queue full or the message too large. */
  readonly send: (to: HostId, message: PeerMessage) => boolean
  /** Replaces the peers; closes the links to removed peers and old addresses. */
  readonly setPeers: (peers: readonly PeerAddress[]) => void
  readonly listStatus: () => readonly LinkStatus[]
  readonly close: () => Promise<void>
}

/** Message kinds that are sent only when no others are queued. */
const BULK_KINDS: ReadonlySet<string> = new Set(['consensus.snapshotChunk', 'settings.part'])

const loopback = new BlockList()
loopback.addSubnet('127.0.0.0', 8, 'ipv4')
loopback.addAddress('::1', 'ipv6')

function isLoopback (address: string): boolean {
  const { host } = parseAddress(address)
  const family = isIP(host)
  return family !== 0 && loopback.check(host, family === 6 ? 'ipv6' : 'ipv4')
}

function checkAddresses ({ tls, allowInsecure, listen, peers }: PeerLinksOptions): void {
  if (tls !== undefined || allowInsecure === true) return
  const exposed = [listen, ...peers.map(({ address }) => address)].find(address => !isLoopback(address))
  if (exposed === undefined) return
  throw new CatkinferryError({
    code: ErrorCode.BAD_SETTINGS,
    message: `peer links beyond loopback (${exposed}) need certificates`,
    step: 'listen',
    hint: 'Set the certificate files of the peer links, or allow insecure links in the settings file.'
  })
}

/** Creates the links. Throws a `CatkinferryError` if an address is not loopback and neither certificates nor `allowInsecure` are set. */
export function createPeerLinks (opts: PeerLinksOptions): PeerLinks {
  checkAddresses(opts)
  const { getMonotonicMs } = createSystemClock()
  const certificates = opts.tls === undefined ? undefined : createCertificateStore(opts.tls, opts.logger)
  const silenceTimeoutMs = opts.silenceTimeoutMs ?? SILENCE_TIMEOUT_MS
  const pingIntervalMs = opts.pingIntervalMs ?? PING_INTERVAL_MS
  const links = new Map<HostId, { readonly link: OutgoingLink, readonly address: string }>()
  const incoming = createIncomingLinks({ ...opts, certificates, pingIntervalMs: pingIntervalMs / 2, silenceTimeoutMs, getNow: getMonotonicMs, isPeer: host => opts.acceptUnknown === true || links.has(host) })
  const certificateTimer = certificates === undefined ? undefined : setInterval(() => { if (certificates.update()) incoming.updateCertificates() }, opts.certificateCheckMs ?? CERTIFICATE_CHECK_MS)

  function createLink ({ host, address }: PeerAddress): OutgoingLink {
    const { self, group, logger, onLink, localIp } = opts
    return createOutgoingLink({ self, group, peer: host, address, localIp, certificates, pingIntervalMs, silenceTimeoutMs, getNow: getMonotonicMs, nextFraction: Math.random, onLink: up => onLink(host, up), logger })
  }

  function setPeers (peers: readonly PeerAddress[]): void {
    checkAddresses({ ...opts, peers })
    const addresses = new Map(peers.map(({ host, address }) => [host, address]))
    for (const [host, { link, address }] of links) {
      if (addresses.get(host) === address) continue
      link.close()
      links.delete(host)
    }
    for (const peer of peers) {
      if (peer.host !== opts.self && !links.has(peer.host)) links.set(peer.host, { link: createLink(peer), address: peer.address })
    }
  }

  /** The message encoded last: a message that is sent to several peers in a row is encoded once. */
  let lastEncoded: { readonly message: PeerMessage, readonly frame: ReturnType<typeof encodeFrame> } | undefined
  function encodeOnce (message: PeerMessage): ReturnType<typeof encodeFrame> {
    if (lastEncoded?.message !== message) lastEncoded = { message, frame: encodeFrame(encodeCompact(message)) }
    return lastEncoded.frame
  }

  setPeers(opts.peers)
  return {
    open: incoming.open,
    send: (to, message) => {
      const entry = links.get(to)
      if (entry === undefined) return false
      const frame = encodeOnce(message)
      if (!frame.ok) {
        opts.logger.error(frame.failure.message, { step: 'frame', peer: to, kind: message.kind })
        return false
      }
      return entry.link.send(frame.value, BULK_KINDS.has(message.kind))
    },
    setPeers,
    listStatus: () => [...links.values()].map(({ link }) => link.getStatus()),
    close: async () => {
      clearInterval(certificateTimer)
      for (const { link } of links.values()) link.close()
      await incoming.close()
    }
  }
}
