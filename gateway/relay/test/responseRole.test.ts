import { expect } from 'earl'
import { describe, it } from 'node:test'
import { findResponseRole, isEventStream, readResponseHead, ResponseRole } from '../src/responseRole.ts'
import type { ResponseHead, SentPart } from '../src/responseRole.ts'

const UNTYPED: ResponseHead = { status: 200, mediaType: undefined, isEncoded: false }
const EVENTS: ResponseHead = { ...UNTYPED, mediaType: 'text/event-stream' }
const { ANSWER, CONTINUATION, FAILURE } = ResponseRole

const SENT: Readonly<Record<string, SentPart>> = {
  nothing: { headSent: false, resumableHead: undefined },
  'the beginning of events': { headSent: true, resumableHead: EVENTS },
  'the beginning of events whose type was not stated': { headSent: true, resumableHead: UNTYPED },
  'the beginning of events from another host': { headSent: false, resumableHead: EVENTS },
  'the beginning of anything else': { headSent: true, resumableHead: undefined }
}

/** Responses, and what they are to a caller with each of the above. */
const ROLES: Readonly<Record<string, readonly [ResponseHead, readonly ResponseRole[]]>> = {
  events: [EVENTS, [ANSWER, CONTINUATION, CONTINUATION, CONTINUATION, FAILURE]],
  'a response of no stated type': [UNTYPED, [ANSWER, FAILURE, CONTINUATION, FAILURE, FAILURE]],
  'a document': [{ ...EVENTS, mediaType: 'application/json' }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'encoded events': [{ ...EVENTS, isEncoded: true }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'an error': [{ ...EVENTS, status: 500 }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'an error of no stated type': [{ ...UNTYPED, status: 503 }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'no content': [{ ...UNTYPED, status: 204 }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'partial content': [{ ...EVENTS, status: 206 }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]],
  'a redirect': [{ ...UNTYPED, status: 302 }, [ANSWER, FAILURE, FAILURE, FAILURE, FAILURE]]
}

describe('the role of a response', () => {
  // Guards against a response to a retry that is judged as if the caller had nothing yet.
  for (const [name, [head, roles]] of Object.entries(ROLES)) {
    it(`follows from what the caller has: ${name}`, () => {
      expect(Object.values(SENT).map(sent => findResponseRole(sent, head))).toEqual([...roles])
    })
  }
})

describe('the head of a response', () => {
  for (const [headers, mediaType, isEncoded] of [
    [{}, undefined, false],
    [{ 'content-type': 'Text/Event-Stream ; charset=utf-8' }, 'text/event-stream', false],
    [{ 'content-type': ';' }, undefined, false],
    [{ 'content-type': 'text/event-streams', 'content-encoding': 'gzip' }, 'text/event-streams', true],
    [{ 'content-encoding': ' Identity' }, undefined, false]
  ] as const) {
    it(`is read from ${JSON.stringify(headers)}`, () => {
      expect(readResponseHead({ headers, statusCode: 200 })).toEqual({ status: 200, mediaType, isEncoded })
    })
  }
})

describe('a stream of events', () => {
  it('is told by status, type and encoding, and may leave its type out only on resumable routes', () => {
    const heads = [EVENTS, UNTYPED, { ...EVENTS, mediaType: 'text/plain' }, { ...EVENTS, isEncoded: true }, { ...EVENTS, status: 206 }]
    const routes = [{ kind: 'stream', resumable: true }, { kind: 'stream', resumable: false }, { kind: 'idempotent', resumable: false }] as const
    expect(routes.map(route => heads.map(head => isEventStream(route, head)))).toEqual([[true, true, false, false, false], [true, false, false, false, false], [false, false, false, false, false]])
  })
})
