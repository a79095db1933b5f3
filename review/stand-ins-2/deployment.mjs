/**
 * A small deployment on loopback addresses: the list of replicas, replicas as processes behind proxies, the operator, and the
 * project's program, started with the commands of the deploy file.
 */
import { fork, spawn } from 'node:child_process'
import { once } from 'node:events'
import { appendFileSync, mkdtempSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer as createHttpServer, request as sendHttp } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const REPLICA = fileURLToPath(new URL('./replica.mjs', import.meta.url))
const ENGINE = fileURLToPath(new URL('./engine.mjs', import.meta.url))
/** Ports, the same on all machines. Those between hosts are a range. */
const PORTS = { caller: 0, ready: 1, control: 2, list: 3, replica: 4, peer: 5 }
const PORT_COUNT = PORTS.peer + 16
const FIRST_PORT = 20000
const LAST_PORT = 30000
/** Cases run for 120 s at most. */
const MAX_RUN_MS = 110000
const ZONE = 'marmara-a'
/** Bounds of the small deployments. */
const BOUNDS = { seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 3000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_extension_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 52, recovery_s: 12, pass_ms: 200, retry_after_s: 0, fencing_enabled: true, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_overage: 1.1, version_ms: 5000 }
export const LIMITS = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }

/** The `run` line of a role of the deploy file. */
function readRunLine (role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(/^\[/m).find(part => part.startsWith(`roles.${role}]`))
  const line = /^run = "(.*)"$/m.exec(section ?? '')?.[1]
  if (line === undefined) throw new Error(`the deploy file has no run line for ${role}`)
  return line.split(' ')
}

async function isFree (port) {
  const server = createServer()
  server.listen(port, '127.0.0.1')
  try {
    await once(server, 'listening')
    return true
  } catch {
    return false
  } finally {
    server.close()
  }
}

/** Sets the ports to a range that nothing listens on. */
async function choosePorts () {
  for (let base = FIRST_PORT + process.pid % 300 * 30; ; base = base + PORT_COUNT < LAST_PORT ? base + PORT_COUNT : FIRST_PORT) {
    const free = await Promise.all(Array.from({ length: PORT_COUNT }, (_, index) => isFree(base + index)))
    if (!free.every(Boolean)) continue
    for (const name of Object.keys(PORTS)) PORTS[name] += base
    return
  }
}

/** Bytes that pass in a tick at this rate, and the largest packet. */
const TICK_MS = 2
const PACKET_BYTES = 1460
const BITS_PER_BYTE = 8

/**
 * A proxy in front of a replica, with a link of a limited rate to its clients. All connections share the link in turn, packet by
 * packet. What a replica has written, and the end of the connection behind it, is on its way also if its process ends.
 */
async function openProxy (ip, target, linkMbps) {
  const connections = new Set()
  const bytesPerTick = linkMbps * 1000 / BITS_PER_BYTE * TICK_MS
  let credit = 0

  /** Passes one packet, or the end, of a connection; returns the number of bytes. */
  function passNext ({ queue, downstream }) {
    const [first] = queue
    if (first.end !== undefined) {
      queue.shift()
      if (first.end === 'reset') downstream.resetAndDestroy()
      else downstream.end()
      return 0
    }
    const packet = first.bytes.subarray(0, PACKET_BYTES)
    if (packet.length === first.bytes.length) queue.shift()
    else first.bytes = first.bytes.subarray(PACKET_BYTES)
    downstream.write(packet)
    return packet.length
  }

  const timer = setInterval(() => {
    credit = Math.min(credit + bytesPerTick, 2 * bytesPerTick)
    for (let busy = [...connections].filter(({ queue }) => queue.length > 0); busy.length > 0 && credit > 0; busy = busy.filter(({ queue }) => queue.length > 0)) {
      for (const connection of busy) if (credit > 0) credit -= passNext(connection)
    }
  }, TICK_MS)

  const server = createServer({ allowHalfOpen: true }, downstream => {
    const upstream = connect({ host: target, port: PORTS.replica, allowHalfOpen: true })
    const connection = { downstream, upstream, queue: [] }
    connections.add(connection)
    downstream.setNoDelay(true)
    upstream.on('data', bytes => connection.queue.push({ bytes }))
    upstream.on('end', () => connection.queue.push({ end: 'end' }))
    upstream.on('error', () => connection.queue.push({ end: 'reset' }))
    downstream.on('data', bytes => upstream.write(bytes))
    downstream.on('end', () => upstream.end())
    downstream.on('error', () => upstream.resetAndDestroy())
    downstream.on('close', () => {
      connections.delete(connection)
      upstream.destroy()
    })
  })
  server.listen(PORTS.replica, ip)
  await once(server, 'listening')
  return {
    /** New connections are refused from now on, as by the kernel of a replica whose process has ended. */
    stopListening: () => { server.close() },
    close: () => {
      clearInterval(timer)
      for (const { downstream, upstream } of connections) {
        downstream.destroy()
        upstream.destroy()
      }
      server.close()
    }
  }
}

export async function openDeployment ({ folder, cores = 3, entries = 1, replicas = 2, linkMbps = 1000, engines = 0, engineOptions = {}, runtime, routes }) {
  await choosePorts()
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => process.exit(2))
  setTimeout(() => process.exit(2), MAX_RUN_MS).unref()
  const record = join(folder, 'record.txt')
  writeFileSync(record, '')
  const startedAt = Date.now()
  const log = (what, fields = {}) => appendFileSync(record, `${((Date.now() - startedAt) / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}\n`)
  const data = mkdtempSync(join(tmpdir(), 'review-'))
  const net = `127.${100 + process.pid % 100}.${Math.floor(process.pid / 100) % 250}`
  const processes = new Set()
  process.on('exit', () => { for (const child of processes) child.kill('SIGKILL') })
  const runs = []
  const closers = []

  const listed = []
  const list = createHttpServer((_req, res) => {
    res.writeHead(200, { 'Content-Type': 'application/json' })
    res.end(JSON.stringify({ instances: listed, next: null }))
  })
  list.listen(PORTS.list, `${net}.2`)
  await once(list, 'listening')
  closers.push(() => { list.closeAllConnections(); list.close() })

  async function startReplica (index) {
    const id = `i-${index}`
    const own = `${net}.${150 + index}`
    const child = fork(REPLICA, [JSON.stringify({ id, ip: own, port: PORTS.replica })])
    processes.add(child)
    child.once('exit', () => processes.delete(child))
    const proxy = await openProxy(`${net}.${100 + index}`, own, linkMbps)
    closers.push(proxy.close)
    await new Promise(resolve => child.on('message', message => {
      if (message.event === 'listening') resolve()
      if (message.event === 'runs') runs.push({ ...message, written: 0 })
      if (message.event === 'wrote') for (const run of runs) if (run.attempt === message.attempt) run.written = message.bytes
      log(`replica ${message.event}`, message)
    }))
    const entry = { id, service: 'svc', address: `${net}.${100 + index}:${PORTS.replica}`, zone: ZONE, version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, born: Date.now() }
    listed.push(entry)
    return { id, child, proxy, entry }
  }
  const started = []
  for (let index = 0; index < replicas; index += 1) started.push(await startReplica(index))

  /** Starts a model replica. Its entry in the list shows the adapters that it has loaded, as of its latest report. */
  async function startEngine (index) {
    const id = `m-${index}`
    const ip = `${net}.${200 + index}`
    const child = fork(ENGINE, [JSON.stringify({ id, ip, port: PORTS.replica, ...engineOptions })])
    processes.add(child)
    const engine = { id, child, overfilled: 0 }
    const models = [{ name: engineOptions.model, version: 1, adapters: [] }]
    const entry = { id, service: 'llm', address: `${ip}:${PORTS.replica}`, zone: ZONE, version: 'v1', slots: 32, state: 'ready', cold_remaining_ms: 0, born: Date.now(), phase: 'mixed', models }
    child.once('exit', (code, signal) => {
      processes.delete(child)
      log('model replica ended', { id, code, signal })
    })
    await new Promise(resolve => {
      child.on('message', message => {
        if (message.event === 'listening') resolve()
        if (message.event === 'runs') runs.push(message)
        if (message.event === 'overfilled') engine.overfilled += 1
        if (message.event === 'holds') models[0].adapters = message.adapters
        log(`model replica ${message.event}`, message)
      })
    })
    listed.push(entry)
    return engine
  }
  const startedEngines = []
  for (let index = 0; index < engines; index += 1) startedEngines.push(await startEngine(index))

  const seeds = Array.from({ length: cores }, (_, index) => `${net}.${10 + index}:${PORTS.control}`).slice(0, 3)
  const nodes = new Map()
  function startNode (name, role, ip, bootstrap) {
    const isEntry = role === 'entry'
    const dataPath = isEntry ? null : join(data, name)
    if (dataPath !== null) mkdirSync(dataPath, { recursive: true })
    const file = join(data, `${name}.json`)
    writeFileSync(file, JSON.stringify({
      node_name: name,
      role,
      machine_class: isEntry ? 'frontend' : 'core',
      serves: [isEntry ? 'frontend' : 'control_plane'],
      ip,
      zone: ZONE,
      region: 'marmara',
      zones: { [ZONE]: 'marmara' },
      listen: isEntry ? { frontend_addr: `${ip}:${PORTS.caller}`, ready: `${ip}:${PORTS.ready}` } : { control_plane: `${ip}:${PORTS.control}` },
      internal_ports: [PORTS.peer, PORTS.peer + 15],
      seed_nodes: seeds,
      bootstrap,
      fault_counted: !isEntry,
      limits: { cpu_quota: 0.675, cpu_cores: 1, memory_mb: 350, max_fds: 4200, link_mbps: 1000, disk_mb: isEntry ? 0 : 128 },
      data_path: dataPath,
      discovery: 'cloud_api',
      entrypoint: 'virtual_ip',
      heartbeat_ms: 1200,
      invariants: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine'],
      fault_tolerance: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      config_mode: 'highest',
      cloud_api: { address: `${net}.2:${PORTS.list}`, rate_per_s: 40, duties: [], max_lag_ms: 800 }
    }))
    const [command, ...args] = readRunLine(role)
    const child = spawn(command, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINFERRY_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    processes.add(child)
    const node = { name, ip, child, output: '' }
    for (const stream of [child.stdout, child.stderr]) stream.on('data', part => { node.output += part.toString() })
    child.once('exit', (code, signal) => { processes.delete(child); log('process ended', { name, code, signal }) })
    nodes.set(name, node)
    return node
  }
  for (let index = 0; index < cores; index += 1) startNode(`core-${index}`, 'core', `${net}.${10 + index}`, true)
  for (let index = 0; index < entries; index += 1) startNode(`entry-${index}`, 'entry', `${net}.${40 + index}`, true)

  /** Sends a request on a connection of its own. Resolves with what came, also if it broke. */
  function send ({ ip, port, method = 'POST', path, headers = {}, body, timeoutMs = 15000 }) {
    return new Promise(resolve => {
      const result = { status: undefined, headers: {}, body: '', isComplete: false, error: undefined }
      const outgoing = sendHttp({ host: ip, port, agent: false, method, path, headers }, res => {
        result.status = res.statusCode
        result.headers = res.headers
        res.on('data', chunk => { result.body += chunk.toString('latin1') })
        res.on('end', () => { result.isComplete = res.complete; resolve(result) })
        res.on('error', error => { result.error = error.message; resolve(result) })
      })
      const timer = setTimeout(() => outgoing.destroy(new Error('no answer within the time limit')), timeoutMs)
      outgoing.on('error', error => { result.error = error.message; resolve(result) })
      outgoing.on('close', () => clearTimeout(timer))
      outgoing.end(body)
    })
  }

  async function until (what, check, maxMs = 30000, pollMs = 50) {
    for (const end = Date.now() + maxMs; Date.now() < end;) {
      if (await check()) return
      await sleep(pollMs)
    }
    throw new Error(`not within ${maxMs} ms: ${what}`)
  }

  const services = [{ name: 'svc', health_path: '/healthz', max_connections: 96, protocol: 'h1', tls: false }, ...(runtime === undefined ? [] : [{ name: 'llm', health_path: '/healthz', max_connections: 230, protocol: 'h1', tls: false, runtime }])]
  const document = { version: 1, routes, services, limits: LIMITS }
  const operate = (core, method, path, body) => send({ ip: nodes.get(core).ip, port: PORTS.control, method, path, body, timeoutMs: 3000, headers: { 'Content-Type': 'application/json' } })

  return {
    net,
    log,
    runs,
    replicas: started,
    engines: startedEngines,
    document,
    listed,
    nodes,
    operate,
    until,
    /** Kills processes at once, and starts them again after `downMs`, which is not the first start of the system. */
    killAndRestart: async (names, downMs) => {
      const killed = names.map(name => nodes.get(name))
      const ended = killed.map(({ child }) => once(child, 'exit'))
      for (const { child } of killed) child.kill('SIGKILL')
      log('processes killed', { names })
      await Promise.all(ended)
      await sleep(downMs)
      for (const { name, ip } of killed) startNode(name, name.startsWith('entry') ? 'entry' : 'core', ip, false)
      log('processes started again', { names })
    },
    replace: async next => {
      await until('the configuration is acknowledged', async () => (await operate('core-0', 'POST', '/config/replace', JSON.stringify(next))).status === 200)
      log('configuration acknowledged', { version: next.version })
    },
    begin: async () => {
      await until('the configuration is acknowledged', async () => (await operate('core-0', 'POST', '/config/replace', JSON.stringify(document))).status === 200)
      log('configuration acknowledged', { version: document.version })
      for (const { name, ip } of nodes.values()) {
        if (name.startsWith('entry')) await until(`${name} is ready`, async () => (await send({ ip, port: PORTS.ready, method: 'GET', path: '/readyz', timeoutMs: 1000 })).status === 200)
      }
      log('all machines are ready')
    },
    /** A client's request. */
    call: async ({ entry = 'entry-0', method = 'POST', path, attempt, deadlineMs = 10000, headers = {}, body = 'order' }) => {
      log('client sends', { attempt, entry, method, path })
      const result = await send({ ip: nodes.get(entry).ip, port: PORTS.caller, method, path, headers: { Host: 'h.example', 'Attempt-Id': attempt, 'Deadline-Ms': String(deadlineMs), ...headers }, body, timeoutMs: deadlineMs + 1000 })
      log('client gets', { attempt, status: result.status, stamp: result.headers['response-stamp'], contentLength: result.headers['content-length'], bodyBytes: result.body.length, isComplete: result.isComplete, error: result.error })
      return result
    },
    close: async () => {
      for (const child of processes) child.kill('SIGKILL')
      while (processes.size > 0 && [...processes].some(child => child.exitCode === null && child.signalCode === null)) await sleep(20)
      for (const close of closers) close()
      rmSync(data, { recursive: true, force: true })
    }
  }
}
