/** Stand-in of a replica: answers requests, health checks and orders as a sound one does, and records what it runs. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const PORT = 8480
const SLOTS = 6

async function readBytes (req) {
  let bytes = 0
  for await (const part of req) bytes += part.length
  return bytes
}

/** Starts a replica of a plain service. `workMs`: how long a request runs. */
export async function startReplica ({ id, service, zone, ip, runs, record, workMs = 60 }) {
  const bornAt = Date.now()
  let active = 0
  const server = createServer((req, res) => { handle(req, res).catch(() => res.destroy()) })

  async function handle (req, res) {
    if (req.url === '/healthz') {
      res.writeHead(200, { 'Instance-Id': id, 'Server-Load': `${Math.min(active, SLOTS)},${Math.max(0, active - SLOTS)},${SLOTS}` })
      res.end()
      return
    }
    const requestId = req.headers['attempt-id']
    const bytes = await readBytes(req)
    if (req.headers['expected-instance'] !== id) {
      res.writeHead(421, { 'Attempt-Id': requestId, 'Not-Executed': '1' })
      res.end()
      return
    }
    runs.push({ requestId, replica: id, at: Date.now(), bytes })
    record(`${id} runs request ${requestId}, ${bytes} B`)
    active += 1
    await sleep(workMs)
    active -= 1
    res.writeHead(200, { 'Attempt-Id': requestId, 'Response-Stamp': `stamp-${id}`, 'Server-Load': `${Math.min(active, SLOTS)},${Math.max(0, active - SLOTS)},${SLOTS}` })
    res.end(`done ${requestId}`)
  }

  server.listen(PORT, ip)
  await once(server, 'listening')
  return {
    id,
    describe: () => ({ id, service, address: `${ip}:${PORT}`, zone, version: 'v1', slots: SLOTS, state: 'ready', cold_remaining_ms: 0, born: bornAt }),
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
