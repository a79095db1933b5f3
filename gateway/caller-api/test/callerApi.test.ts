import type { CallerRequest } from '@catkinferry/core.types'
import { createMetrics } from '@catkinferry/core.metrics'
import type { HostEvent } from '@catkinferry/host.events'
import { expect } from 'earl'
import { createHash } from 'node:crypto'
import { once } from 'node:events'
import { createServer, request as sendRequest } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { createCallerApi, createCallerLookup } from '../src/index.ts'
import type { CallerApi, CallerApiOptions } from '../src/index.ts'

const FACTS = { adapter: 'a', version: '1', attempts: 1, queueMs: 2.4, loadStallMs: 0 }
const COMPLETION = JSON.stringify({ model: 'a@1', prompt: 'hi', stream: true })
const METRICS = createMetrics({ prefix: '', onError: () => undefined })

describe('caller API', () => {
  let server: Server
  let url: string
  let events: HostEvent[]

  /** `onSubmit` stands in for the host core. */
  async function start (onSubmit: (request: CallerRequest, api: CallerApi) => void, change: Partial<CallerApiOptions> = {}): Promise<CallerApi> {
    events = []
    const api: CallerApi = createCallerApi({
      host: 'amman-a-1',
      clock: { getMonotonicMs: () => performance.now(), getWallMs: () => Date.now() },
      emit: event => {
        events.push(event)
        if (event.kind === 'caller.submit') setImmediate(() => onSubmit(event.request, api))
      },
      metrics: METRICS,
      routes: [{ route: 'filings', pathPrefix: '/filings', idempotent: false }],
      findCaller: () => 'tescil',
      listAdapters: () => [{ adapter: 'a', version: '1', adapterKey: 'a@1', model: 'm', pool: 'p' }],
      getDefaultDeadlineMs: () => 30_000,
      setPaused: () => undefined,
      getMaxPauseMs: () => 30_000,
      ...change
    })
    server = createServer(api.handle)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return api
  }

  async function post (path: string, body: string, headers: Record<string, string> = {}): Promise<Response> {
    return await fetch(url + path, { method: 'POST', body, headers })
  }

  function answerStream ({ requestId }: CallerRequest, api: CallerApi): void {
    const facts = { ...FACTS, requestId }
    api.receiveOutput({ kind: 'caller.head', requestId, facts, status: 200, contentType: 'text/event-stream' })
    api.receiveOutput({ kind: 'caller.chunk', requestId, data: '{"n":1}' })
    api.flush()
  }

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  it('writes a stream with its metadata headers and the end marker', async () => {
    await start((request, api) => {
      answerStream(request, api)
      api.receiveOutput({ kind: 'caller.end', requestId: request.requestId, facts: { ...FACTS, requestId: request.requestId } })
      api.flush()
    })
    const answer = await post('/v1/completions', COMPLETION, { 'x-catkinferry-class': 'urgent', 'x-catkinferry-deadline-ms': '500' })
    expect(await answer.text()).toEqual('data: {"n":1}\n\ndata: [DONE]\n\n')
    expect(answer.headers.get('x-catkinferry-version')).toEqual('1')
    expect(answer.headers.get('x-catkinferry-queue-ms')).toEqual('2')
    expect(events[0]).toEqual(expect.subset({ kind: 'caller.submit', request: expect.subset({ caller: 'tescil', serviceClass: 'urgent', deadlineMs: 500, idempotent: true, work: expect.subset({ adapter: 'a', version: '1', body: { prompt: 'hi' } }) }) }))
  })

  it('ends a stream that fails after its head with an error event and without the end marker', async () => {
    await start((request, api) => {
      answerStream(request, api)
      api.receiveOutput({ kind: 'caller.fail', requestId: request.requestId, failure: { code: 'ERR_CATKINFERRY_STREAM_CUT', message: 'cut', step: 'attempt.answer', ran: 'unknown' } })
    })
    const text = await (await post('/v1/completions', COMPLETION)).text()
    expect(text.includes('event: error')).toEqual(true)
    expect(text.includes('[DONE]')).toEqual(false)
  })

  it('answers a failure before the head with status, Retry-After and whether the request ran', async () => {
    await start(({ requestId }, api) => {
      api.receiveOutput({ kind: 'caller.fail', requestId, failure: { code: 'ERR_CATKINFERRY_OVER_LIMIT', message: 'too many', step: 'admission', ran: 'no', retryAfterMs: 1_500, hint: 'slow down' } })
    })
    const answer = await post('/v1/chat/completions', JSON.stringify({ model: 'a', messages: [{ role: 'user', content: 'x' }] }))
    expect(answer.status).toEqual(429)
    expect(answer.headers.get('retry-after')).toEqual('2')
    expect(await answer.json()).toEqual({ error: expect.subset({ code: 'ERR_CATKINFERRY_OVER_LIMIT', step: 'admission', ran: 'no', hint: 'slow down' }) })
  })

  it('refuses invalid input with 400 naming the field, too large bodies with 413 and unknown paths with 404', async () => {
    await start(() => undefined)
    const bad: [string, string, Record<string, string>, number, string][] = [
      ['/v1/completions', '{', {}, 400, 'not JSON'],
      ['/v1/completions', '{"model":"a"}', {}, 400, 'prompt'],
      ['/v1/chat/completions', '{"model":"a","messages":[{"role":"user"}]}', {}, 400, 'messages.0.content'],
      ['/v1/completions', COMPLETION, { 'x-catkinferry-class': 'vip' }, 400, 'x-catkinferry-class'],
      ['/v1/completions', COMPLETION, { 'x-catkinferry-deadline-ms': '-1' }, 400, 'x-catkinferry-deadline-ms'],
      ['/v1/completions', 'x'.repeat(4 * 1024 * 1024 + 1), {}, 413, 'over'],
      ['/nowhere', '', {}, 404, '/nowhere']
    ]
    for (const [path, body, headers, status, named] of bad) {
      const answer = await post(path, body, headers)
      const { error } = await answer.json() as { error: { message: string, ran: string } }
      expect([answer.status, error.ran, error.message.includes(named)]).toEqual([status, 'no', true])
    }
    expect(events).toEqual([])
  })

  it('submits service requests with their idempotency key and whether they are idempotent', async () => {
    await start(({ requestId }, api) => {
      api.receiveOutput({ kind: 'caller.head', requestId, facts: { ...FACTS, requestId, claimKey: 'k1' }, status: 201, contentType: 'text/plain' })
      api.receiveOutput({ kind: 'caller.chunk', requestId, data: 'filed' })
      api.receiveOutput({ kind: 'caller.end', requestId, facts: { ...FACTS, requestId } })
      api.flush()
    })
    const answer = await post('/filings/42?x=1', '{"boat":1}', { 'idempotency-key': 'k1' })
    expect([answer.status, await answer.text(), answer.headers.get('x-catkinferry-claim-key')]).toEqual([201, 'filed', 'k1'])
    expect(events[0]).toEqual(expect.subset({ request: expect.subset({ claimKey: 'k1', idempotent: false, work: expect.subset({ route: 'filings', path: '/filings/42?x=1' }) }) }))
  })

  it('reports a caller that disconnects', async () => {
    const gone = new Promise<void>(resolve => {
      void start((request, api) => {
        answerStream(request, api)
        const check = setInterval(() => {
          if (!events.some(({ kind }) => kind === 'caller.gone')) return
          clearInterval(check)
          resolve()
        }, 5)
      }).then(async () => {
        const controller = new AbortController()
        const answer = await fetch(url + '/v1/completions', { method: 'POST', body: COMPLETION, signal: controller.signal })
        await answer.body?.getReader().read()
        controller.abort()
      })
    })
    await gone
    expect(events.filter(({ kind }) => kind === 'caller.gone').length).toEqual(1)
  })

  it('pauses the endpoint for a slow caller and disconnects the caller above the limit of unsent bytes', async () => {
    const pauses: boolean[] = []
    let resolveGone: () => void = () => undefined
    const gone = new Promise<void>(resolve => { resolveGone = resolve })
    const api = await start((request, used) => {
      answerStream(request, used)
      const feed = (): void => {
        if (events.some(({ kind }) => kind === 'caller.gone')) return resolveGone()
        used.receiveOutput({ kind: 'caller.chunk', requestId: request.requestId, data: 'x'.repeat(100_000) })
        used.flush()
        setImmediate(feed)
      }
      feed()
    }, { setPaused: (_requestId, paused) => { pauses.push(paused) }, limits: { dropAboveBytes: 500_000 } })
    const req = sendRequest(url + '/v1/completions', { method: 'POST' })
    req.on('error', () => undefined)
    req.end(COMPLETION)
    const [response] = await once(req, 'response') as [IncomingMessage]
    response.on('error', () => undefined)
    response.pause()
    await gone
    expect(pauses[0]).toEqual(true)
    expect(api.getActiveCount()).toEqual(0)
  })

  it('disconnects a caller that does not read for too long', async () => {
    let left = 300
    let paused = false
    const gone = new Promise<HostEvent>(resolve => {
      void start((request, api) => {
        answerStream(request, api)
        const feed = (): void => {
          const event = events.find(({ kind }) => kind === 'caller.gone')
          if (event !== undefined) return resolve(event)
          if (left-- > 0) {
            api.receiveOutput({ kind: 'caller.chunk', requestId: request.requestId, data: 'x'.repeat(100_000) })
            api.flush()
          }
          setImmediate(feed)
        }
        feed()
      }, { setPaused: (_requestId, value) => { paused ||= value }, getMaxPauseMs: () => 50, limits: { dropAboveBytes: 100_000_000 } }).then(async () => {
        const req = sendRequest(url + '/v1/completions', { method: 'POST' })
        req.on('error', () => undefined)
        req.end(COMPLETION)
        const [response] = await once(req, 'response') as [IncomingMessage]
        response.on('error', () => undefined)
        response.pause()
      })
    })
    expect((await gone).kind).toEqual('caller.gone')
    expect(paused).toEqual(true)
  })

  it('answers health, readiness and models', async () => {
    const api = await start(() => undefined)
    expect((await fetch(url + '/healthz')).status).toEqual(200)
    expect((await fetch(url + '/readyz')).status).toEqual(503)
    api.setHealth(true, 'serving')
    expect((await fetch(url + '/readyz')).status).toEqual(200)
    expect(await (await fetch(url + '/v1/models')).json()).toEqual(expect.subset({ data: [{ id: 'a@1', object: 'model', parent: 'm', adapter: 'a' }] }))
  })

  it('authenticates callers by token', async () => {
    const tokenSha256 = createHash('sha256').update('secret').digest('hex')
    await start(() => undefined, { findCaller: createCallerLookup([{ caller: 'aqaba', tokenSha256 }]) })
    expect((await post('/v1/completions', COMPLETION)).status).toEqual(401)
    expect((await post('/v1/completions', COMPLETION, { authorization: 'Bearer wrong' })).status).toEqual(401)
    expect(createCallerLookup([{ caller: 'aqaba', tokenSha256 }])('Bearer secret')).toEqual('aqaba')
  })
})
