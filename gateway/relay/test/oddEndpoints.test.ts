/** Endpoints that no request can be sent to, as a leader of an earlier release publishes them from an odd entry of its list. */
import { probeConnection } from '@catkinferry/endpoints.liveness'
import { expect } from 'earl'
import { describe, it } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { CONNECT_TIMEOUT_MS } from '../src/constants.ts'
import { probeHealth } from '../src/probeEndpoint.ts'
import { answerOk, startEndpoint, startTestRelay } from './testRelay.ts'
import type { Endpoint } from './testRelay.ts'

/** Longer than the times after which silent and unreachable endpoints are probed. */
const OBSERVED_MS = 1_300
const REQUESTS = 8

function buildOdd (id: string, address: string): Endpoint {
  return { id, address, seen: [], close: () => undefined }
}

const ODD: Readonly<Record<string, Endpoint>> = {
  'a port out of range': buildOdd('odd', '127.0.0.1:99999'),
  'an id that no header can carry': buildOdd('odd\nid', '127.0.0.1:9'),
  'an address that is none': buildOdd('odd', 'nowhere')
}

describe('an endpoint with', () => {
  // Guards against an entry host that ends, and against requests that end without one more attempt, because a request or probe throws.
  for (const [name, odd] of Object.entries(ODD)) {
    it(`${name} gets no request, and those of callers are served by the others`, async () => {
      const sound = await startEndpoint('sound', (req, res) => answerOk(req, res))
      const { call, lines, close } = await startTestRelay({ endpoints: [odd, sound] })
      try {
        const answers = await Promise.all(Array.from({ length: REQUESTS }, (_, index) => call({ headers: { 'X-Id': `q${index}` } })))
        await sleep(OBSERVED_MS)
        expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200))
        expect((await call()).status).toEqual(200)
        expect(lines.filter(({ level }) => level === 'error')).toEqual([])
      } finally {
        close()
      }
    })
  }

  for (const [name, odd] of Object.entries(ODD)) {
    it(`${name} leads to a refusal as not run if there is no other`, async () => {
      const { call, close } = await startTestRelay({ endpoints: [odd] })
      try {
        expect((await call()).status).toEqual(503)
        await sleep(OBSERVED_MS)
        expect((await call()).status).toEqual(503)
      } finally {
        close()
      }
    })
  }

  // A probe that rejects is handled nowhere, and ends the process.
  it('an address that Node.js does not connect to is found unreachable by probes', async () => {
    for (const address of ['127.0.0.1:99999', '127.0.0.1:http', 'nowhere', '']) expect(await Promise.all([probeConnection({ address, timeoutMs: CONNECT_TIMEOUT_MS }), probeHealth({ address, healthPath: '/' })])).toEqual([false, false])
  })

  it('a health path that Node.js does not send is found reachable all the same', async () => {
    const endpoint = await startEndpoint('e1', (req, res) => answerOk(req, res))
    try {
      for (const healthPath of ['/he alth', '/\u2603', '', 'health', '/\ud800', '/a\nb']) expect([healthPath, await probeHealth({ address: endpoint.address, healthPath })]).toEqual([healthPath, true])
    } finally {
      endpoint.close()
    }
  })
})
