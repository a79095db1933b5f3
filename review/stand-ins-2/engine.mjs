/**
 * Stand-in for a model replica, a process of its own. Holds one base model and adapters, and carries out orders as the pages say:
 * adapters being loaded take room, and an order that exceeds the memory for weights or the adapter slots crashes the replica.
 * Usage: node engine.mjs '{"id","ip","port","model","modelMb","adapterMb","weightsMb","slots","loadMs"}'.
 */
import { createServer } from 'node:http'

const { id, ip, port, model, modelMb, adapterMb, weightsMb, slots, loadMs } = JSON.parse(process.argv[2])
const MAX_LOADING = 4
const EVENTS = 5
const EVENT_MS = 20
const adapters = new Map()
let highestToken = 0
const report = message => process.send?.({ replica: id, at: Date.now(), ...message })

function listAdapters () {
  return [...adapters].filter(([, { isLoaded }]) => isLoaded).map(([name, { version }]) => `${name}@${version}`)
}

async function readBody (req) {
  const parts = []
  for await (const part of req) parts.push(part)
  return Buffer.concat(parts).toString()
}

function getUsedMb () {
  return modelMb + adapters.size * adapterMb
}

/** Returns the status of an order for an adapter. */
function execute ({ operation, adapter, version = 1, owner, fencing_token: token }) {
  if (owner === undefined || token === undefined || adapter === undefined) return 400
  if (token < highestToken) return 412
  highestToken = token
  const known = adapters.get(adapter)
  if (operation === 'model_unload') {
    if (known === undefined) return 200
    if (!known.isLoaded || known.running > 0) return 409
    adapters.delete(adapter)
    report({ event: 'unloaded', adapter, adapters: adapters.size })
    return 200
  }
  if (known?.version === version) return known.isLoaded ? 200 : 202
  if ([...adapters.values()].filter(({ isLoaded }) => !isLoaded).length >= MAX_LOADING) return 409
  adapters.set(adapter, { version, isLoaded: false, running: known?.running ?? 0 })
  report({ event: 'ordered to load', adapter, adapters: adapters.size, usedMb: getUsedMb(), weightsMb, slots })
  if (adapters.size > slots || getUsedMb() > weightsMb) {
    report({ event: 'overfilled', adapters: adapters.size, slots, usedMb: getUsedMb(), weightsMb })
    setTimeout(() => process.exit(1), 20)
  }
  setTimeout(() => {
    const loading = adapters.get(adapter)
    if (loading?.version !== version) return
    loading.isLoaded = true
    report({ event: 'holds', adapters: listAdapters() })
  }, loadMs)
  return 202
}

async function handle (req, res) {
  const attempt = req.headers['attempt-id']
  const body = await readBody(req)
  const echo = attempt === undefined ? {} : { 'Attempt-Id': attempt }
  const refuse = status => res.writeHead(status, { ...echo, 'Not-Executed': '1', 'Content-Length': '0' }).end()
  if (req.url === '/healthz') {
    res.writeHead(200, { 'Instance-Id': id, 'Content-Length': '0' }).end()
    return
  }
  if (req.headers['expected-instance'] !== undefined && req.headers['expected-instance'] !== id) return refuse(421)
  if (req.url === '/order') {
    const status = execute(JSON.parse(body))
    res.writeHead(status, { ...echo, 'Content-Type': 'application/json', 'Content-Length': '2' }).end('{}')
    return
  }
  const [name, adapter] = String(req.headers.model ?? '').split('/')
  const held = adapters.get(adapter)
  const version = req.headers['expected-version']
  if (name !== model || held?.isLoaded !== true || (version !== undefined && Number(version) !== held.version)) return refuse(421)
  report({ event: 'runs', attempt, adapter, version: held.version })
  held.running += 1
  res.once('close', () => { held.running -= 1 })
  res.writeHead(200, { ...echo, 'Response-Stamp': `stamp.${id}.${attempt}`, 'Content-Type': 'text/event-stream', 'Server-Load': `1,0,${32}` })
  for (let event = 1; event <= EVENTS && !res.destroyed; event += 1) {
    res.write(`id: ${event}\ndata: ${attempt} ${event}\n\n`)
    await new Promise(resolve => setTimeout(resolve, EVENT_MS))
  }
  res.end()
}

createServer((req, res) => { handle(req, res).catch(() => res.destroy()) }).listen(port, ip, () => report({ event: 'listening' }))
process.on('disconnect', () => process.exit(0))
