import { createSystemClock } from '@catkinferry/core.clock'
import type { EndpointRow } from '@catkinferry/core.types'
import type { HostEvent } from '@catkinferry/host.events'
import { startFakePlatform } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { createPlatformDriver } from '../src/index.ts'
import type { PlatformSource } from '../src/index.ts'

const ROW: EndpointRow = { endpoint: 'e1', kind: 'engine', zone: 'amman-a', region: 'amman', url: 'http://127.0.0.1:9000', pool: 'drafting', leaving: true }

async function pollOnce (source: PlatformSource): Promise<HostEvent> {
  const answer = await new Promise<{ event: HostEvent, close: () => Promise<void> }>(resolve => {
    const driver = createPlatformDriver({ clock: createSystemClock(), emit: event => resolve({ event, close: driver.close }), source })
    driver.poll()
  })
  await answer.close()
  return answer.event
}

describe('platform driver', () => {
  it('reads endpoints and hosts, and reports an unreachable platform', async () => {
    const platform = await startFakePlatform()
    platform.setList([ROW], [{ host: 'h1', zone: 'amman-a', leaving: false }])
    const list = await pollOnce({ kind: 'http', url: platform.url })
    platform.setDown(true)
    const down = await pollOnce({ kind: 'http', url: platform.url })
    await platform.close()
    expect(list).toEqual({ kind: 'platform.list', endpoints: [ROW], hosts: [{ host: 'h1', zone: 'amman-a', leaving: false }] })
    expect(down).toEqual({ kind: 'platform.unreachable' })
  })

  it('returns a fixed list without an HTTP call', async () => {
    const event = await pollOnce({ kind: 'fixed', list: { endpoints: [{ ...ROW, model: undefined }], hosts: [] } })
    expect(event).toEqual(expect.subset({ kind: 'platform.list', hosts: [] }))
  })
})
