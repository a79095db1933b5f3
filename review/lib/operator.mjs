/** Stand-in of the operator: sends configurations until they get a clear answer, and reads them back. */
import { setTimeout as sleep } from 'node:timers/promises'
import { call } from './deployment.mjs'

const RESEND_MS = 150

/** A configuration with the routes of a small deployment and `extraRoutes` more. */
export function buildConfiguration (version, extraRoutes) {
  const host = 'ficu95.example'
  const shared = { host, goal_ms: 300, priority: 2, service: 'kayit-servis', sticky: false, resumable: false }
  const routes = [
    { ...shared, name: 'r-teslim', path_prefix: '/teslim/', type: 'non_idempotent', timeout_ms: 3000, max_attempts: 1 },
    { ...shared, name: 'r-durum', path_prefix: '/durum/', type: 'idempotent', timeout_ms: 3000, max_attempts: 2 },
    ...Array.from({ length: extraRoutes }, (_, index) => ({ name: `r${index}`, host, path_prefix: `/p${index}/`, type: 'idempotent', timeout_ms: 3000, service: 'kayit-servis' }))
  ]
  return JSON.stringify({ version, routes, services: [{ name: 'kayit-servis', health_path: '/healthz', max_connections: 96, protocol: 'h1', tls: false }], limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 } })
}

/** `cores`: names of the machines that the operator calls, in turn. */
export function createOperator ({ deployment, cores, record }) {
  let turn = 0
  const nextAddress = () => deployment.getControlAddress(cores[turn++ % cores.length])
  return {
    /** Sends a configuration until a call is acknowledged, to all machines in turn or to `core`. Returns false if that takes longer than `maxMs`. */
    replace: async (version, text, { core, maxMs = 20_000 } = {}) => {
      const until = Date.now() + maxMs
      while (Date.now() < until) {
        const address = core === undefined ? nextAddress() : deployment.getControlAddress(core)
        const answer = await call({ address, method: 'POST', path: '/config/replace', body: text })
        if (answer?.status === 200) {
          record(`configuration ${version}, ${Buffer.byteLength(text)} B, is acknowledged${core === undefined ? '' : ` by ${core}`}`)
          return true
        }
        record(`configuration ${version} is answered ${answer?.status ?? 'not at all'}`)
        if (answer !== undefined && answer.status < 500) throw new Error(`configuration ${version} is refused with ${answer.status}`)
        await sleep(RESEND_MS)
      }
      return false
    },
    /** Reads the configuration at one machine; its version, undefined without a 200. */
    read: async core => {
      const answer = await call({ address: deployment.getControlAddress(core), method: 'GET', path: '/config/read' })
      record(`a read at ${core} is answered ${answer?.status ?? 'not at all'}`)
      return answer?.status === 200 ? JSON.parse(answer.body).version : undefined
    }
  }
}
