import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createAdmission } from '../src/index.ts'

const LIMITS = { requestsPerSecond: 10, burst: 2, concurrency: 3 }

describe('createAdmission', () => {
  it('admits a burst, then one request per refilled token, and returns when to retry', () => {
    const admission = createAdmission()
    const admit = (now: number) => admission.tryAdmit({ caller: 'clerk', now, limits: LIMITS })
    expect([admit(0).admitted, admit(0).admitted]).toEqual([true, true])
    expect(admit(0)).toEqual({ admitted: false, reason: 'rate', retryAfterMs: 100 })
    expect(admit(100).admitted).toEqual(true)
  })

  it('limits the concurrency of each caller separately', () => {
    const admission = createAdmission()
    const limits = { requestsPerSecond: 100, burst: 100, concurrency: 1 }
    expect(admission.tryAdmit({ caller: 'clerk', now: 0, limits }).admitted).toEqual(true)
    const second = admission.tryAdmit({ caller: 'clerk', now: 0, limits })
    expect(!second.admitted && second.reason).toEqual('concurrency')
    expect(admission.tryAdmit({ caller: 'courier', now: 0, limits }).admitted).toEqual(true)
    admission.release('clerk')
    expect(admission.tryAdmit({ caller: 'clerk', now: 0, limits }).admitted).toEqual(true)
  })

  it('evicts idle callers, and keeps those with running requests', () => {
    const admission = createAdmission()
    for (const caller of ['a', 'b']) admission.tryAdmit({ caller, now: 0, limits: LIMITS })
    admission.release('a')
    admission.expire(10_000)
    expect(admission.getSize()).toEqual(1)
  })
})
