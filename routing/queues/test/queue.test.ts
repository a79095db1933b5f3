import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createRequestQueue } from '../src/index.ts'
import type { RequestQueue } from '../src/index.ts'

const LIMITS = { limit: 3, ageingMs: 5_000, classDeadlineMs: { urgent: 10_000, standard: 30_000, overnight: 21_600_000 } }

function takeAll (queue: RequestQueue): string[] {
  const taken: string[] = []
  for (let id = queue.takeFirst(); id !== undefined; id = queue.takeFirst()) taken.push(id)
  return taken
}

describe('createRequestQueue', () => {
  it('orders by class, then by deadline', () => {
    const queue = createRequestQueue()
    queue.add({ requestId: 'o', serviceClass: 'overnight', deadlineAt: 1 }, 0, LIMITS)
    queue.add({ requestId: 'u2', serviceClass: 'urgent', deadlineAt: 9_000 }, 0, LIMITS)
    queue.add({ requestId: 'u1', serviceClass: 'urgent', deadlineAt: 8_000 }, 0, LIMITS)
    expect(takeAll(queue)).toEqual(['u1', 'u2', 'o'])
  })

  it('promotes a request by age, ahead of newer urgent ones', () => {
    const queue = createRequestQueue()
    queue.add({ requestId: 'o', serviceClass: 'overnight', deadlineAt: 20_000_000 }, 0, LIMITS)
    queue.promote(5_000, LIMITS)
    queue.promote(10_000, LIMITS)
    queue.add({ requestId: 'u', serviceClass: 'urgent', deadlineAt: 25_000 }, 15_000, LIMITS)
    expect(takeAll(queue)).toEqual(['o', 'u'])
  })

  it('when full, displaces its last request for one that ranks before it, and refuses others', () => {
    const queue = createRequestQueue()
    for (const [requestId, deadlineAt] of [['s1', 1], ['s2', 2], ['s3', 3]] as const) {
      queue.add({ requestId, serviceClass: 'standard', deadlineAt }, 0, LIMITS)
    }
    expect(queue.add({ requestId: 's4', serviceClass: 'standard', deadlineAt: 4 }, 0, LIMITS)).toEqual({ added: false })
    expect(queue.add({ requestId: 'u', serviceClass: 'urgent', deadlineAt: 9 }, 0, LIMITS)).toEqual({ added: true, displaced: 's3' })
    expect(takeAll(queue)).toEqual(['u', 's1', 's2'])
  })

  it('puts a taken request back at its rank, and drops removed ones', () => {
    const queue = createRequestQueue()
    queue.add({ requestId: 's1', serviceClass: 'standard', deadlineAt: 1 }, 0, LIMITS)
    queue.add({ requestId: 's2', serviceClass: 'standard', deadlineAt: 2 }, 0, LIMITS)
    expect(queue.takeFirst()).toEqual('s1')
    queue.putBack('s1')
    queue.remove('s2')
    expect(takeAll(queue)).toEqual(['s1'])
  })
})
