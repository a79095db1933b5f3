/**
 * Stand-in for a replica, a process of its own. Speaks HTTP/1.1 over plain sockets, so that it can answer without a length.
 * Reports each request that it runs, and each answer, to its parent. Usage: node replica.mjs '{"id","ip","port","born"}'.
 */
import { createServer } from 'node:net'

const { id, ip, port } = JSON.parse(process.argv[2])
const report = message => process.send?.({ replica: id, at: Date.now(), ...message })

function parseHead (text) {
  const [first, ...lines] = text.split('\r\n')
  const [method, path] = first.split(' ')
  const headers = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return { method, path, headers }
}

/** Bytes of the body of request `attempt`, which a caller can recognise. */
function buildBody (attempt, bytes) {
  const line = `${attempt} from ${id};`
  return line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes)
}

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** The path states how to answer: /PREFIX/plain/MS, /PREFIX/unframed/MS, where MS is the time that the work takes. */
async function answer (socket, { method, path, headers }, body) {
  const attempt = headers['attempt-id']
  if (method === 'GET' && path === '/healthz') {
    socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    return
  }
  if (path === '/order') {
    socket.write(`HTTP/1.1 200 OK\r\n${attempt === undefined ? '' : `Attempt-Id: ${attempt}\r\n`}Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`)
    return
  }
  if (headers['expected-instance'] !== undefined && headers['expected-instance'] !== id) {
    socket.write(`HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`)
    return
  }
  const [, , how, ms = '50', size = '4000'] = path.split('/')
  const content = buildBody(attempt, Number(size))
  report({ event: 'runs', attempt, method, path, bodyBytes: body.length, answerBytes: content.length })
  const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nResponse-Stamp: stamp.${id}.${attempt}\r\nContent-Type: text/plain\r\n`
  if (how === 'unframed') {
    socket.write(`${head}Connection: close\r\n\r\n${content.slice(0, content.length / 2)}`)
    report({ event: 'wrote', attempt, bytes: content.length / 2 })
    await sleep(Number(ms))
    socket.end(content.slice(content.length / 2))
    report({ event: 'wrote', attempt, bytes: content.length })
    return
  }
  await sleep(Number(ms))
  socket.write(`${head}Content-Length: ${content.length}\r\n\r\n${content}`)
  report({ event: 'wrote', attempt, bytes: content.length })
}

const server = createServer(socket => {
  let held = Buffer.alloc(0)
  let busy = false
  socket.on('error', () => socket.destroy())
  socket.setNoDelay(true)
  async function serve () {
    if (busy) return
    const end = held.indexOf('\r\n\r\n')
    if (end === -1) return
    const request = parseHead(held.subarray(0, end).toString('latin1'))
    const length = Number(request.headers['content-length'] ?? 0)
    if (held.length < end + 4 + length) return
    const body = held.subarray(end + 4, end + 4 + length)
    held = held.subarray(end + 4 + length)
    busy = true
    await answer(socket, request, body)
    busy = false
    await serve()
  }
  socket.on('data', chunk => {
    held = Buffer.concat([held, chunk])
    serve().catch(() => socket.destroy())
  })
})
server.listen(port, ip, () => report({ event: 'listening' }))
process.on('disconnect', () => process.exit(0))
