/** Requests that a caller sends on one connection without waiting for their answers. */
import { expect } from 'earl'
import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { openCallerServer } from '../src/callerServer.ts'
import type { CallerServer } from '../src/callerServer.ts'

const LIMITS = { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 500, idleTimeoutMs: 5_000 }
/** One request is answered, 8 wait, and those of 2 KiB may have been parsed at once. */
const MAX_READ = 9 + 2_048 / 34
/** Two pieces of 64 KiB that a read of a socket returns, and what the stream of the socket reads ahead. */
const MAX_READ_BYTES = 4 * 65_536
/** Time in which a host must notice that a caller has left. */
const NOTICE_MS = 500

const buildRequest = (index: number): string => `GET /${String(index).padStart(6, '0')} HTTP/1.1\r\nHost: h\r\n\r\n`
const buildPost = (index: number): string => `POST /${String(index).padStart(6, '0')} HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n${'a'.repeat(40_000)}`

const listPaths = (count: number): string[] => Array.from({ length: count }, (_, index) => `/${String(index).padStart(6, '0')}`)

describe('requests that are sent ahead on a connection', () => {
  let server: CallerServer | undefined
  let socket: Socket | undefined

  afterEach(async () => {
    socket?.destroy()
    await server?.stopAccepting()
    await server?.close(0)
  })

  interface Ahead {
    readonly caller: Socket
    /** Responses to the requests that the host has read and not answered. */
    readonly waiting: ServerResponse[]
    /** Answers one request after the other. Resolves with the paths that the caller has got answers to, when there are as many or the connection has ended. */
    readonly goOn: (count: number) => Promise<string[]>
    /** Resolves when the host has read what it reads ahead. */
    readonly settle: () => Promise<void>
    readonly server: CallerServer
  }

  async function open (): Promise<Ahead> {
    const waiting: ServerResponse[] = []
    let isGoing = false
    const answerNext = (): void => {
      const [res] = waiting
      if (!isGoing || res === undefined) return
      res.once('close', () => {
        waiting.shift()
        setImmediate(answerNext)
      })
      res.end(`${res.req.url}\n`)
    }
    const opened = await openCallerServer({
      address: '127.0.0.1:0',
      getNow: () => performance.now(),
      handle: (req, res) => {
        req.resume()
        waiting.push(res)
        if (waiting.length === 1) answerNext()
      }
    })
    opened.setLimits(LIMITS)
    const caller = connect({ host: '127.0.0.1', port: Number(opened.address.slice(opened.address.lastIndexOf(':') + 1)) })
    server = opened
    socket = caller
    caller.on('error', () => undefined)
    const got: string[] = []
    caller.on('data', part => got.push(String(part)))
    return {
      caller,
      waiting,
      goOn: async count => {
        isGoing = true
        answerNext()
        const last = `${listPaths(count).at(-1)}\n`
        while (!caller.destroyed && got.at(-1)?.includes(last) !== true) await sleep(5)
        return got.join('').match(/^\/\d+$/gm) ?? []
      },
      settle: async () => {
        for (let before = -1; before !== waiting.length || waiting.length === 0;) {
          before = waiting.length
          await sleep(100)
        }
      },
      server: opened
    }
  }

  // Guards against a caller that fills the memory of its host: all that it sent ahead on one connection was parsed and kept.
  for (const [name, build, count] of [
    ['without a body', buildRequest, 20_000],
    ['with a body', buildPost, 100]
  ] as const) {
    it(`are not read while many of them wait, and are all answered in their order: ${name}`, async () => {
      const { caller, waiting, goOn, settle } = await open()
      caller.write(Array.from({ length: count }, (_, index) => build(index)).join(''))
      await settle()
      const { bytesRead = 0 } = waiting[0]?.socket ?? {}
      expect([waiting.length <= MAX_READ, bytesRead <= MAX_READ_BYTES + 10 * build(0).length]).toEqual([true, true])
      expect(await goOn(count)).toEqual(listPaths(count))
    })
  }

  // Guards against a memory limit that hides the end of a connection, so that a request runs on for a caller who has left.
  it('do not hide that their caller has left', async () => {
    const { caller, waiting, settle } = await open()
    caller.write(Array.from({ length: 1_500 }, (_, index) => buildRequest(index)).join(''))
    await settle()
    const [first] = waiting as [ServerResponse]
    caller.destroy()
    const isNoticed = await Promise.race([once(first, 'close').then(() => true), sleep(NOTICE_MS, false)])
    expect([waiting.length <= MAX_READ, isNoticed]).toEqual([true, true])
  })

  // Guards against a request that is taken for one that does not arrive whole in time, while the host itself does not read the rest of it.
  it('are answered although their time limit has passed while they were not read', async () => {
    const { caller, waiting, goOn, settle } = await open()
    caller.write(Array.from({ length: 8_000 }, (_, index) => buildRequest(index)).join(''))
    await settle()
    // Past the time limit of a request, 5 s, and the next check of the HTTP server, which looks for expired requests each second.
    await sleep(7_000)
    expect(waiting.length <= MAX_READ).toEqual(true)
    expect(await goOn(8_000)).toEqual(listPaths(8_000))
  })

  // Guards against a stop that takes as long as its caller likes, and against one that answers what was not read.
  it('end with their connection when the host stops', async () => {
    const { caller, waiting, settle, server: opened } = await open()
    caller.write(Array.from({ length: 20_000 }, (_, index) => buildRequest(index)).join(''))
    await settle()
    const count = waiting.length
    await opened.stopAccepting()
    await Promise.all([once(caller, 'close'), opened.close(5_000)])
    expect([waiting.length, count <= MAX_READ]).toEqual([count, true])
  })
})
