/** Reads the TLS certificate files of this host, and checks that a peer's certificate names the peer. */
import { readFileSync } from 'node:fs'
import { createSecureContext } from 'node:tls'
import type { DetailedPeerCertificate, PeerCertificate, TLSSocket } from 'node:tls'
import type { Logger } from '@catkinferry/core.logger'
import type { HostId } from '@catkinferry/core.types'

/** Paths of PEM files, read again when they change. */
export interface TlsFiles {
  readonly certFile: string
  readonly keyFile: string
  readonly caFile: string
}

export interface TlsMaterial {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

export interface CertificateStore {
  readonly get: () => TlsMaterial
  /** Reads the files again; returns whether they have changed. If one is unreadable, or they do not fit together, the contents read before stay in use. */
  readonly update: () => boolean
}

function readMaterial ({ certFile, keyFile, caFile }: TlsFiles): TlsMaterial {
  return { cert: readFileSync(certFile, 'utf8'), key: readFileSync(keyFile, 'utf8'), ca: readFileSync(caFile, 'utf8') }
}

const PEM_BEGIN = /^-----BEGIN /gm
const PEM_END = /^-----END /gm

function countMatches (text: string, pattern: RegExp): number {
  return text.match(pattern)?.length ?? 0
}

/** Throws if a file is not complete or the files do not fit together. Node.js takes an empty text for an option that is not set, and ignores the rest of a list of certificates from the first that is cut. */
function checkMaterial (material: TlsMaterial): void {
  for (const [file, text] of Object.entries(material)) {
    const begun = countMatches(text, PEM_BEGIN)
    if (begun === 0) throw new Error(`the file for '${file}' contains nothing in PEM format`)
    if (begun !== countMatches(text, PEM_END)) throw new Error(`the file for '${file}' is cut short`)
  }
  createSecureContext(material)
}

/** Reads the files; throws if one is unreadable or not complete, or if they do not fit together. */
export function createCertificateStore (files: TlsFiles, logger: Logger): CertificateStore {
  let material = readMaterial(files)
  checkMaterial(material)
  /** The last failure, which is logged once. */
  let reported = ''
  return {
    get: () => material,
    update: () => {
      try {
        const next = readMaterial(files)
        const changed = next.cert !== material.cert || next.key !== material.key || next.ca !== material.ca
        if (changed) {
          checkMaterial(next)
          material = next
          logger.info('certificates were updated', { step: 'certificates' })
        }
        reported = ''
        return changed
      } catch (error) {
        const { message } = error as Error
        if (message !== reported) logger.warn('cannot use the certificate files; keeping the certificate in use', { step: 'certificates', cause: error })
        reported = message
        return false
      }
    }
  }
}

function listNames (certificate: PeerCertificate | DetailedPeerCertificate): string[] {
  const alternatives = (certificate.subjectaltname ?? '').split(', ').filter(name => name.startsWith('DNS:'))
  return [...alternatives.map(name => name.slice('DNS:'.length)), String(certificate.subject?.CN ?? '')]
}

/** Whether the peer's certificate is trusted and names `host`, as common name or alternative name. */
export function isCertifiedFor (socket: TLSSocket, host: HostId): boolean {
  return socket.authorized && listNames(socket.getPeerCertificate()).includes(host)
}
