/** Loopback proxy before a listener of the program, which plays the delay and the bandwidth of the links between regions. */
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

/** One way between two regions. */
const REGION_DELAY_MS = 8
/** Bytes on their way on one connection; links have small windows. */
const WINDOW_BYTES = 256 * 1024

/** Passes bytes on in order, each piece once the shared link has had the time for it. */
function pump (source, sink, link) {
  const queue = []
  let queuedBytes = 0
  let timer
  let hasEnded = false

  function forward () {
    timer = undefined
    const now = performance.now()
    while (queue.length > 0 && queue[0].at <= now) {
      const { bytes } = queue.shift()
      queuedBytes -= bytes.length
      if (!sink.destroyed) sink.write(bytes)
    }
    if (queuedBytes < WINDOW_BYTES && sink.writableLength < WINDOW_BYTES) source.resume()
    if (queue.length > 0) timer = setTimeout(forward, Math.max(0, queue[0].at - performance.now()))
    else if (hasEnded) sink.end()
  }

  source.on('data', bytes => {
    if (link === undefined) {
      if (!sink.write(bytes)) source.pause()
      return
    }
    const now = performance.now()
    link.freeAt = Math.max(now, link.freeAt) + bytes.length * 8 / (link.mbps * 1_000)
    queue.push({ at: link.freeAt + REGION_DELAY_MS, bytes })
    queuedBytes += bytes.length
    if (queuedBytes >= WINDOW_BYTES) source.pause()
    timer ??= setTimeout(forward, Math.max(0, queue[0].at - now))
  })
  sink.on('drain', () => { if (queuedBytes < WINDOW_BYTES) source.resume() })
  source.on('end', () => {
    hasEnded = true
    if (queue.length === 0) sink.end()
  })
  source.on('error', () => sink.destroy())
  source.on('close', () => {
    if (!hasEnded) sink.destroy()
  })
  sink.on('close', () => clearTimeout(timer))
}

/** `findRegion`: the region of the machine with an IP; undefined for clients and the operator, to whom no bandwidth is played. */
export async function openLink ({ ip, bindIp, port, region, findRegion, shared, mbps }) {
  const sockets = new Set()
  const getLink = (from, to) => {
    if (from === undefined || to === undefined || from === to) return undefined
    const key = `${from}>${to}`
    if (!shared.has(key)) shared.set(key, { freeAt: 0, mbps })
    return shared.get(key)
  }
  const server = createServer({ allowHalfOpen: true, noDelay: true }, caller => {
    const from = findRegion(caller.remoteAddress)
    const callee = connect({ host: bindIp, port, noDelay: true, allowHalfOpen: true })
    for (const socket of [caller, callee]) {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    }
    pump(caller, callee, getLink(from, region))
    pump(callee, caller, getLink(region, from))
  })
  server.listen(port, ip)
  await once(server, 'listening')
  return {
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
