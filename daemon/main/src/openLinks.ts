/** Opens the peer links of a host as its settings file configures them. */
import type { Logger } from '@catkinferry/core.logger'
import type { Metrics } from '@catkinferry/core.metrics'
import type { Config } from '@catkinferry/daemon.config'
import type { HostEvent } from '@catkinferry/host.events'
import { createPeerLinks } from '@catkinferry/wire.peer-links'
import type { TlsFiles } from '@catkinferry/wire.peer-links'
import { NO_LINKS } from './links.ts'
import type { Links } from './links.ts'

export interface OpenLinksOptions {
  readonly config: Config
  readonly logger: Logger
  readonly metrics: Metrics
  readonly emit: (event: HostEvent) => void
}

function buildTlsFiles (tls: NonNullable<Config['tls']>): TlsFiles {
  return { certFile: tls.certificate, keyFile: tls.key, caFile: tls.authority }
}

/** Listens for peers and connects to them. A host without peers does neither. */
export async function openLinks (opts: OpenLinksOptions): Promise<Links> {
  const { config, logger, metrics, emit } = opts
  const peers = config.peers.filter(({ host }) => host !== config.host)
  if (peers.length === 0) return NO_LINKS
  const up = new Set<string>()
  const links = createPeerLinks({
    self: config.host,
    group: config.group,
    peers,
    listen: config.listen.peer,
    tls: config.tls === undefined ? undefined : buildTlsFiles(config.tls),
    allowInsecure: config.allowInsecure,
    logger,
    onMessage: (from, message) => emit({ kind: 'peer.message', from, message }),
    onLink: (host, isUp) => {
      if (isUp) up.add(host)
      else up.delete(host)
      metrics.gauge('peer.links', up.size)
      emit({ kind: 'peer.link', host, up: isUp })
    }
  })
  await links.open()
  return links
}
