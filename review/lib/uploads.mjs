/** Clients that send requests with long bodies to one front, each on a connection of its own and at the pace of its own link. Runs as a process of its own; prints one line of JSON for each request. */
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

const CHUNK_BYTES = 32 * 1024
const [address, prefix, count, startIntervalMs, bytes, bytesPerSecond, maxAtOnce, deadlineMs] = process.argv.slice(2).map(text => /^\d+$/.test(text) ? Number(text) : text)
const [host, port] = address.split(':')
const chunk = Buffer.alloc(CHUNK_BYTES, 'x')
const chunkMs = CHUNK_BYTES * 1_000 / bytesPerSecond

/** Resolves once the connection has ended. A client that has its answer sends the rest of its body, so that the connection can be kept. */
function send (id) {
  return new Promise(resolve => {
    const startedAt = Date.now()
    const socket = connect(port, host)
    let answer = ''
    let sentBytes = 0
    socket.on('error', () => undefined)
    socket.on('data', part => { answer += part.toString('latin1') })
    socket.on('close', () => {
      process.stdout.write(`${JSON.stringify({ id, status: answer === '' ? 0 : Number(answer.slice(9, 12)), sentBytes, startedAt, tookMs: Date.now() - startedAt })}\n`)
      resolve()
    })
    socket.on('connect', () => {
      socket.write(`POST /durum/x HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: ${bytes}\r\n\r\n`)
      sendBody().catch(() => socket.destroy())
    })

    async function sendBody () {
      for (let nextAt = performance.now() + chunkMs; sentBytes < bytes && !socket.destroyed; nextAt += chunkMs) {
        if (!socket.write(chunk)) await new Promise(resolve => { socket.once('drain', resolve).once('close', resolve) })
        sentBytes += CHUNK_BYTES
        const waitMs = nextAt - performance.now()
        if (waitMs > 1) await sleep(waitMs)
      }
      while (!socket.destroyed && !answer.includes('\r\n\r\n') && Date.now() - startedAt < deadlineMs) await sleep(50)
      socket.end()
    }
  })
}

const running = new Set()
for (let index = 0; index < count; index += 1) {
  while (running.size >= maxAtOnce) await Promise.race(running)
  const request = send(`${prefix}${index}`).then(() => { running.delete(request) })
  running.add(request)
  await sleep(startIntervalMs)
}
await Promise.all(running)
