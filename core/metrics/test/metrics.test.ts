import { expect } from 'earl'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { createMetrics } from '../src/index.ts'

describe('metrics', () => {
  it('sends buffered metrics with prefix and tags on close', async () => {
    const agent = createSocket('udp4')
    agent.bind(0, '127.0.0.1')
    await once(agent, 'listening')
    const received = once(agent, 'message')
    const { port } = agent.address() as AddressInfo
    const metrics = createMetrics({ agent: { host: '127.0.0.1', port }, prefix: 'catkinferry.', tags: { host: 'a-1' }, onError: error => { throw error } })
    metrics.count('caller.requests', 2, { status: '200' })
    metrics.timing('caller.request_ms', 12)
    await metrics.close()
    const [message] = await received as [Buffer]
    agent.close()
    const lines = message.toString().trim().split('\n')
    expect(lines).toEqual(['catkinferry.caller.requests:2|c|#host:a-1,status:200', 'catkinferry.caller.request_ms:12|ms|#host:a-1'])
  })

  it('drops metrics when no agent is set', async () => {
    const metrics = createMetrics({ prefix: 'x.', onError: error => { throw error } })
    metrics.gauge('peer.links', 3)
    await metrics.close()
    expect(metrics.count('caller.requests', 1)).toEqual(undefined)
  })
})
