import { ErrorCode } from '@catkinferry/core.errors'
import type { OperatorCall, OperatorReply } from '@catkinferry/core.types'
import type { Config } from '@catkinferry/daemon.config'
import { findFreePort } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { after, before, describe, it } from 'node:test'
import { startHost } from '../src/index.ts'
import type { Daemon } from '../src/index.ts'
import { createFillableDisk } from './fillableDisk.ts'

const LOCATION = { zone: 'a', region: 'r' }
/** Longer than a command waits for an answer before it is sent again. */
const DEADLINE_MS = 1_500

const buildChange = (name: string, deadlineMs: number): OperatorCall => ({ kind: 'settings.change', changeId: name, changes: [{ path: `models/${name}`, expectedRevision: 0, values: { pool: 'demo' } }], dryRun: false, deadlineMs })

/** Calls on a full disk, in this order. The disk is found to be full by the first one, whose entry may be committed later. */
const CALLS: readonly [name: string, call: OperatorCall, status: number, code: ErrorCode][] = [
  ['a change that is being written', buildChange('first', DEADLINE_MS), 504, ErrorCode.OUTCOME_UNKNOWN],
  ['a later change', buildChange('second', DEADLINE_MS), 503, ErrorCode.DISK_FAILED],
  ['a read of the newest settings', { kind: 'settings.get', path: 'models', effective: false, explain: false, fresh: true }, 503, ErrorCode.DISK_FAILED]
]

describe('a single voter on a full disk', () => {
  const logLines: string[] = []
  let isFull = false
  let folder: string
  let daemon: Daemon

  async function sendOperatorCall ({ kind, ...fields }: OperatorCall): Promise<{ readonly status: number, readonly reply: OperatorReply }> {
    const answer = await fetch(`${daemon.operatorUrl}/operator/v1/${kind}`, { method: 'POST', body: JSON.stringify(fields) })
    return { status: answer.status, reply: await answer.json() as OperatorReply }
  }

  async function waitForLine (text: string): Promise<string> {
    for (;;) {
      const line = logLines.find(candidate => candidate.includes(text))
      if (line !== undefined) return line
      await sleep(20)
    }
  }

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'full-voter-disk-'))
    const address = `127.0.0.1:${await findFreePort()}`
    const config: Config = {
      host: 'a-1',
      ...LOCATION,
      path: 'fleet/r/a/k/a-1',
      group: 'test',
      listen: { caller: '127.0.0.1:0', operator: '127.0.0.1:0', peer: address },
      peers: [{ host: 'a-1', ...LOCATION, address }],
      voters: ['a-1'],
      leaseVoters: ['a-1'],
      dataFolder: join(folder, 'data'),
      callers: [],
      services: [],
      endpoints: [],
      logs: { level: 'info' },
      allowInsecure: false
    }
    daemon = await startHost({ config, writeLog: line => { logLines.push(line) }, fs: createFillableDisk(() => isFull) })
    expect((await sendOperatorCall(buildChange('before', 20_000))).status).toEqual(200)
    isFull = true
  })

  after(async () => {
    daemon.cut()
    await daemon.stopped
    await rm(folder, { recursive: true })
  })

  // Guards against operators who are told that a host does not lead, or that an answer was lost, while its disk is full.
  for (const [name, call, expectedStatus, code] of CALLS) {
    it(`answers ${name} with the folder and the error`, async () => {
      const { status, reply } = await sendOperatorCall(call)
      if (reply.ok) throw new Error('the call was accepted')
      const { failure } = reply
      expect([status, failure.code]).toEqual([expectedStatus, code])
      expect(failure.message).toEqual(expect.includes(`the log of host 'a-1' cannot be written: data folder '${join(folder, 'data')}': the disk is full (ENOSPC)`))
      expect(failure.hint !== undefined).toEqual(true)
    })
  }

  it('names the folder in its log, and accepts changes again once there is room', async () => {
    expect(await waitForLine('disk write failed')).toEqual(expect.includes(join(folder, 'data')))
    isFull = false
    await waitForLine('the disk accepts writes again')
    expect((await sendOperatorCall(buildChange('after', 20_000))).status).toEqual(200)
  })
})
