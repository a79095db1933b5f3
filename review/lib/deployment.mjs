/**
 * Stand-in of the platform on loopback: starts the program with the commands of the deploy file, one process for each machine,
 * serves the list of replicas, restarts processes that end, and plays the links between regions.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, existsSync, readFileSync, writeFileSync } from 'node:fs'
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { openLink } from './links.mjs'
import { startReplica } from './replica.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const PROGRAM = join(ROOT, 'target/catkinferry-node.js')
const PORTS = { peer: 7380, lastPeer: 7395, caller: 8149, ready: 8141, control: 8144, list: 8142 }
/** Time from the end of a process until the platform starts it again. */
const RESTART_MS = 500
const WATCHDOG_MS = 117_000

/** Exit codes of a case. */
export const Verdict = { HELD: 0, BROKEN: 1, NOT_RUN: 2 }

/** Bounds of the deployment `tescil-hat`. */
const BOUNDS = { seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 3000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_extension_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 52, recovery_s: 12, pass_ms: 200, retry_after_s: 0, fencing_enabled: true, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_overage: 1.1, version_ms: 5000 }
const LIMITS = { core: { cpu_quota: 0.81, cpu_cores: 1, memory_mb: 346, max_fds: 4096, link_mbps: 1000, disk_mb: 128 }, frontend: { cpu_quota: 0.675, cpu_cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000, disk_mb: 0 } }
const ZONES = { 'marmara-a': 'marmara', 'marmara-b': 'marmara', 'ankara-a': 'ic-anadolu' }

/** The program and arguments of a role of the deploy file. */
function readCommand (machineClass) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const role = text.split(/^\[roles\./m).slice(1).find(part => part.includes(`on = "${machineClass}"`))
  return /^run = "(.*)"$/m.exec(role)[1].split(' ')
}

/** Writes what happens to `record.txt` in the folder of the case. */
export function createRecord (folder) {
  const file = join(folder, 'record.txt')
  const startedAt = Date.now()
  writeFileSync(file, '')
  return line => {
    const text = `${((Date.now() - startedAt) / 1000).toFixed(3)} s  ${line}`
    appendFileSync(file, `${text}\n`)
  }
}

/** Sends one request on a connection of its own; undefined if no complete response comes in time. */
export function call ({ address, method, path, headers = {}, body, timeoutMs = 1_000 }) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = request({ host, port, agent: false, method, path, headers: { ...headers, ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }) } }, response => {
      const parts = []
      response.on('data', part => parts.push(part))
      response.on('error', () => resolve(undefined))
      response.on('end', () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(parts).toString() }))
    })
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs)
    outgoing.on('error', () => resolve(undefined))
    outgoing.on('close', () => {
      clearTimeout(timer)
      resolve(undefined)
    })
    outgoing.end(body)
  })
}

/**
 * Starts a deployment. `machines`: name, class and zone of each; `replicas`: service and zone of each; `regionMbps`: bandwidth between
 * two regions, for the traffic of all machines together; no links are played without it.
 */
export async function startDeployment ({ machines, replicas = [], regionMbps, record, restart = true }) {
  if (!existsSync(PROGRAM)) throw new Error('the program is not built')
  const folder = await mkdtemp(join(tmpdir(), 'review-'))
  const net = `127.${60 + process.pid % 60}.${1 + Math.floor(process.pid / 60) % 250}`
  const bindNet = regionMbps === undefined ? net : `127.${130 + process.pid % 60}.${1 + Math.floor(process.pid / 60) % 250}`
  const nodes = new Map()
  const ends = []
  const runs = []
  let isClosing = false
  process.once('exit', () => { for (const { process: child } of nodes.values()) child?.kill('SIGKILL') })

  const listed = []
  for (const [index, { service, zone, ...behaviour }] of replicas.entries()) {
    listed.push(await startReplica({ id: `i-${service}-${index}`, service, zone, ip: `${net}.${100 + index}`, runs, record, ...behaviour }))
  }
  const list = createServer((_req, res) => {
    res.writeHead(200, { 'Content-Type': 'application/json' })
    res.end(JSON.stringify({ instances: listed.map(({ describe }) => describe()), next: null }))
  })
  list.listen(PORTS.list, `${net}.2`)
  await once(list, 'listening')

  for (const [index, { name, machineClass, zone }] of machines.entries()) {
    nodes.set(name, { name, machineClass, zone, region: ZONES[zone], ip: `${net}.${10 + index}`, bindIp: `${bindNet}.${10 + index}`, file: join(folder, `${name}.json`), dataPath: machineClass === 'core' ? join(folder, name) : null, log: '', process: undefined })
  }
  const links = regionMbps === undefined ? undefined : []
  if (links !== undefined) {
    const findRegion = ip => [...nodes.values()].find(({ bindIp }) => bindIp === ip)?.region
    const shared = new Map()
    for (const node of nodes.values()) {
      const ports = node.machineClass === 'core' ? [PORTS.peer, PORTS.control] : [PORTS.peer, PORTS.peer + 1, PORTS.caller, PORTS.ready]
      for (const port of ports) links.push(await openLink({ ip: node.ip, bindIp: node.bindIp, port, region: node.region, findRegion, shared, mbps: regionMbps }))
    }
  }
  const seeds = [...nodes.values()].filter(({ machineClass }) => machineClass === 'core').slice(0, 3).map(({ ip }) => `${ip}:${PORTS.control}`)

  function buildSettings ({ name, machineClass, zone, region, ip, dataPath }, bootstrap) {
    const isEntry = machineClass === 'frontend'
    return { node_name: name, role: isEntry ? 'entry' : 'core', machine_class: machineClass, serves: [isEntry ? 'frontend' : 'control_plane'], ip, zone, region, zones: ZONES, listen: isEntry ? { frontend_addr: `${ip}:${PORTS.caller}`, ready: `${ip}:${PORTS.ready}` } : { control_plane: `${ip}:${PORTS.control}` }, internal_ports: [PORTS.peer, PORTS.lastPeer], seed_nodes: seeds, bootstrap, fault_counted: !isEntry, limits: LIMITS[machineClass], data_path: dataPath, discovery: 'cloud_api', entrypoint: 'virtual_ip', heartbeat_ms: 1200, invariants: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine'], fault_tolerance: { machines: 1, zones: 0, regions: 0 }, bounds: BOUNDS, config_mode: 'highest', cloud_api: { address: `${net}.2:${PORTS.list}`, rate_per_s: 40, duties: [], max_lag_ms: 800 } }
  }

  async function start (name, bootstrap = false) {
    const node = nodes.get(name)
    if (node.dataPath !== null) await mkdir(node.dataPath, { recursive: true })
    await writeFile(node.file, JSON.stringify(buildSettings(node, bootstrap)))
    const [program, ...args] = readCommand(node.machineClass)
    const child = spawn(program, [...args, ...(node.bindIp === node.ip ? [] : ['--bind', node.bindIp])], { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINFERRY_NODE_FILE: node.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    node.process = child
    node.isStopping = false
    node.startedAt = Date.now()
    const append = part => { node.log = (node.log + part).slice(-4_000_000) }
    child.stdout.on('data', append)
    child.stderr.on('data', append)
    child.once('exit', (code, signal) => {
      node.process = undefined
      if (node.isStopping || isClosing) return
      ends.push({ name, code, signal, at: Date.now() })
      const reason = node.log.split('\n').findLast(line => /FATAL|"level":"error"/.test(line)) ?? ''
      record(`the process of ${name} ended by itself: exit code ${code}, signal ${signal} ${reason.slice(0, 200)}`)
      if (restart) setTimeout(() => { if (!isClosing && node.process === undefined) start(name) }, RESTART_MS)
    })
    record(`${name} is started${bootstrap ? ' for the first time' : ''}`)
  }

  async function kill (name) {
    const node = nodes.get(name)
    if (node.process === undefined) return
    node.isStopping = true
    const ended = once(node.process, 'exit')
    node.process.kill('SIGKILL')
    await ended
    record(`${name} is killed`)
  }

  const close = async () => {
    isClosing = true
    for (const name of nodes.keys()) await kill(name)
    for (const link of links ?? []) link.close()
    for (const replica of listed) replica.close()
    list.closeAllConnections()
    list.close()
    await rm(folder, { recursive: true, force: true })
  }

  return {
    nodes,
    ends,
    runs,
    replicas: listed,
    start,
    kill,
    close,
    startAll: async () => { for (const name of nodes.keys()) await start(name, true) },
    /** The disk of a machine whose process does not run is lost with all that it held. */
    loseDisk: async name => {
      await rm(nodes.get(name).dataPath, { recursive: true, force: true })
      record(`${name} has lost its disk`)
    },
    getControlAddress: name => `${nodes.get(name).ip}:${PORTS.control}`,
    getCallerAddress: name => `${nodes.get(name).ip}:${PORTS.caller}`,
    isReady: async name => (await call({ address: `${nodes.get(name).ip}:${PORTS.ready}`, method: 'GET', path: '/readyz' }))?.status === 200,
    /** Memory of a process in MB. */
    readMemoryMb: name => {
      const { process: child } = nodes.get(name)
      if (child === undefined) return undefined
      try {
        return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]) * 1024 / 1e6
      } catch {
        return undefined
      }
    }
  }
}

/** Waits until `check` returns a value that counts as true; throws after `maxMs`. */
export async function waitFor (what, check, maxMs = 20_000) {
  const until = Date.now() + maxMs
  for (;;) {
    const value = await check()
    if (value) return value
    if (Date.now() > until) throw new Error(`not within ${maxMs} ms: ${what}`)
    await sleep(50)
  }
}

/** Runs a case: `play` returns a verdict. Ends the process with it, also if the case could not run. */
export async function runCase ({ folder, hasTrouble }, play) {
  const record = createRecord(folder)
  record(hasTrouble ? 'with the disruption' : 'without the disruption')
  let deployment
  const end = async (verdict, reason) => {
    record(`verdict ${verdict}: ${reason}`)
    process.stdout.write(`${verdict === Verdict.BROKEN ? 'BROKEN' : verdict === Verdict.HELD ? 'held' : 'not run'}: ${reason}\n`)
    await deployment?.close()
    process.exit(verdict)
  }
  setTimeout(() => { end(Verdict.NOT_RUN, 'the case took too long') }, WATCHDOG_MS).unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { end(Verdict.NOT_RUN, `ended by ${signal}`) })
  try {
    const { verdict, reason } = await play({ record, start: async opts => { deployment = await startDeployment({ ...opts, record }); return deployment } })
    await end(verdict, reason)
  } catch (error) {
    record(`error: ${error.stack}`)
    await end(Verdict.NOT_RUN, error.message)
  }
}
