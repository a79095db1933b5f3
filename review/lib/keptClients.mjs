/** Clients that send short requests, which may run once at most, one after the other on a connection that they keep. */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

const DEADLINE_MS = 3_000
const PAUSE_MS = 20

function send ({ agent, address, id }) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const outgoing = request({ agent, host, port, method: 'POST', path: '/teslim/x', headers: { Host: 'ficu95.example', 'Attempt-Id': id, 'Deadline-Ms': DEADLINE_MS, 'Content-Length': 5 } }, response => {
      response.resume()
      response.on('end', () => resolve({ status: response.statusCode }))
      response.on('error', () => resolve({ status: 0, isKept: outgoing.reusedSocket }))
    })
    outgoing.on('error', () => resolve({ status: 0, isKept: outgoing.reusedSocket }))
    outgoing.end('hello')
  })
}

/** Starts `count` clients of a front. `stop` resolves with the ids of the requests on kept connections that were closed without an answer, and with the counts of all answers. */
export function startKeptClients ({ address, prefix, count, record }) {
  const unanswered = []
  const counts = {}
  const stopping = new AbortController()
  const clients = Array.from({ length: count }, async (_, client) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let turn = 0; !stopping.signal.aborted; turn += 1) {
      const id = `${prefix}${client}-${turn}`
      const { status, isKept } = await send({ agent, address, id })
      counts[status] = (counts[status] ?? 0) + 1
      if (status === 0 && isKept) unanswered.push(id)
      record(`request ${id} is answered ${status === 0 ? `not at all${isKept ? ', and its kept connection is closed' : ''}` : status}`)
      await sleep(status === 0 ? 200 : PAUSE_MS)
    }
    agent.destroy()
  })
  return {
    stop: async () => {
      stopping.abort()
      await Promise.all(clients)
      return { unanswered, counts }
    }
  }
}
