import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import type { DiskAnswer, DiskRequest, LogEntry, StoredState } from '@catkinferry/wire.messages'
import { CatkinferryError } from '@catkinferry/core.errors'
import { createLogger } from '@catkinferry/core.logger'
import { createRandom } from '@catkinferry/core.random'
import { waitFor } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import fc from 'fast-check'
import { openDurableLog, openWhenWritable } from '../src/index.ts'
import { createMemoryFiles } from './memoryFiles.ts'
import type { MemoryFiles } from './memoryFiles.ts'

/** Operations after a failure among which the second one falls: more than opening the folder takes. */
const SECOND_FAULT_GAP = 16

const OWNER = { folder: 'data', host: 'a', group: 'g' }
const MEMBERSHIP = { voters: [{ host: 'a', incarnation: 'x' }], learners: [] }

function createEntry (index: number, term: number, bytes = 10): LogEntry {
  const operator = { name: 'x'.repeat(bytes), role: 'write', from: '' } as const
  return { index, term, payload: { kind: 'commands', proposedAt: index, commands: [{ kind: 'settings.change', changeId: `${index}.${term}`, operator, changes: [] }] } }
}

const createEntries = (from: number, to: number, term: number, bytes?: number): LogEntry[] =>
  Array.from({ length: to - from + 1 }, (_, n) => createEntry(from + n, term, bytes))

const SNAPSHOT = { lastIndex: 6, lastTerm: 2, membership: MEMBERSHIP, data: Buffer.alloc(3_000, 7) }
const CONFLICTING_SNAPSHOT = { lastIndex: 20, lastTerm: 4, membership: MEMBERSHIP, data: Buffer.alloc(2_000, 8) }

/** Requests of every kind, in order. */
const REQUESTS: readonly DiskRequest[] = [
  { kind: 'hardState', writeId: 1, state: { term: 1, votedFor: 'a' } },
  { kind: 'append', writeId: 2, entries: createEntries(1, 5, 1, 2_000) },
  { kind: 'hardState', writeId: 3, state: { term: 2 } },
  { kind: 'replaceFrom', writeId: 4, index: 4, entries: createEntries(4, 8, 2) },
  { kind: 'snapshot', writeId: 5, snapshot: SNAPSHOT },
  { kind: 'append', writeId: 6, entries: createEntries(9, 10, 2) },
  { kind: 'hardState', writeId: 7, state: { term: 3, votedFor: 'b' } },
  { kind: 'snapshot', writeId: 8, snapshot: CONFLICTING_SNAPSHOT },
  { kind: 'append', writeId: 9, entries: createEntries(21, 22, 4) }
]

/** Computes the state after the requests without using files. */
function applyRequests (requests: readonly DiskRequest[]): Omit<StoredState, 'group' | 'incarnation'> {
  let state: Omit<StoredState, 'group' | 'incarnation'> = { hardState: { term: 0 }, entries: [] }
  for (const request of requests) {
    if (request.kind === 'hardState') state = { ...state, hardState: request.state }
    else if (request.kind === 'append') state = { ...state, entries: [...state.entries, ...request.entries] }
    else if (request.kind === 'replaceFrom') state = { ...state, entries: [...state.entries.filter(({ index }) => index < request.index), ...request.entries] }
    else {
      const { lastIndex, lastTerm } = request.snapshot
      const keeps = state.entries.some(({ index, term }) => index === lastIndex && term === lastTerm)
      state = { ...state, snapshot: request.snapshot, entries: keeps ? state.entries.filter(({ index }) => index > lastIndex) : [] }
    }
  }
  return state
}

function describeStored ({ hardState, entries, snapshot }: Omit<StoredState, 'group' | 'incarnation'>): unknown {
  return { hardState, entries: entries.map(({ index, term }) => `${index}.${term}`), snapshot: snapshot === undefined ? '' : `${snapshot.lastIndex}:${Buffer.from(snapshot.data).toString('hex')}` }
}

/** Writes the requests one by one; returns how many succeeded. */
async function writeAll (files: MemoryFiles): Promise<number> {
  const log = await openDurableLog({ ...OWNER, fs: files.fs })
  let done = 0
  for (const request of REQUESTS) {
    const answer = await log.execute(request)
    if (!answer.ok) break
    done++
  }
  return done
}

async function getFailure (work: Promise<unknown>): Promise<CatkinferryError['failure']> {
  try {
    await work
  } catch (error) {
    if (error instanceof CatkinferryError) return error.failure
    throw error
  }
  throw new Error('expected the work to fail')
}

const reopen = async (files: MemoryFiles): Promise<StoredState> => {
  const log = await openDurableLog({ ...OWNER, fs: files.fs })
  await log.close()
  return log.stored
}

describe('a crash at any write, sync or folder change', () => {
  it('loses no answered request and applies at most the one in flight', async () => {
    const probe = createMemoryFiles(createRandom(1))
    await writeAll(probe)
    const operations = probe.getOperations()
    expect(operations > 30).toEqual(true)
    for (let at = 1; at <= operations; at++) {
      for (let seed = 1; seed <= 8; seed++) {
        const files = createMemoryFiles(createRandom(seed * 1_000 + at))
        files.setFault({ at, kind: 'kill' })
        const done = await writeAll(files).catch(() => 0)
        files.crash()
        const found = describeStored(await reopen(files))
        const allowed = [REQUESTS.slice(0, done), REQUESTS.slice(0, done + 1)].map(requests => describeStored(applyRequests(requests)))
        expect({ at, seed, found: allowed.some(state => JSON.stringify(state) === JSON.stringify(found)) ? 'allowed' : found }).toEqual({ at, seed, found: 'allowed' })
      }
    }
  })

  it('leaves a state that survives a second crash during opening', async () => {
    for (let at = 1; at <= 12; at++) {
      const files = createMemoryFiles(createRandom(at))
      await writeAll(files)
      files.crash()
      files.setFault({ at: files.getOperations() + at, kind: 'kill' })
      await reopen(files).catch(() => undefined)
      files.crash()
      expect(describeStored(await reopen(files))).toEqual(describeStored(applyRequests(REQUESTS)))
    }
  })
})

describe('a failing disk', () => {
  // Guards against a voter that acknowledges nothing any more after its disk was full, or a sync failed, for a moment.
  for (const kind of ['diskFull', 'syncFails'] as const) {
    it(`that works again gets every request, and loses none that was answered: ${kind} at any operation`, async () => {
      const probe = createMemoryFiles(createRandom(1))
      await writeAll(probe)
      for (let at = 1; at <= probe.getOperations(); at++) {
        const files = createMemoryFiles(createRandom(at))
        files.setFault({ at, until: at + 4, kind })
        const lines: string[] = []
        const logger = createLogger({ level: 'info', write: line => { lines.push(line) } })
        const log = await openWhenWritable({ ...OWNER, fs: files.fs, retryMs: 1, logger }).catch(async (error: unknown) => {
          // A failed sync may be damage of the device: the host does not wait for it when it starts.
          expect([kind, (error as Error).message]).toEqual(['syncFails', 'EIO: i/o error, fdatasync'])
          return await openDurableLog({ ...OWNER, fs: files.fs, retryMs: 1 })
        })
        expect(lines.map(line => JSON.parse(line).message ?? JSON.parse(line).msg)).toEqual(kind === 'diskFull' && lines.length > 0 ? ['the disk of the data folder is full; the host starts once there is room', 'the disk of the data folder has room again'] : [])
        const states: DiskAnswer[] = []
        log.watch(answer => states.push(answer))
        for (const request of REQUESTS) {
          const execute = async (): Promise<boolean> => (await log.execute(request)).ok
          // A snapshot that does not fit is dropped and taken again later.
          while (!(await execute())) expect(request.kind).toEqual('snapshot')
        }
        expect(states.map(({ ok }) => ok).slice(-1)).toEqual(states.length === 0 ? [] : [true])
        files.crash()
        expect({ at, found: describeStored(await reopen(files)) }).toEqual({ at, found: describeStored(applyRequests(REQUESTS)) })
      }
    })
  }

  // Guards against a voter that stays inactive for good because its disk failed once more while its folder was opened again.
  it('that fails a second time while the folder is opened again gets every request', async () => {
    const probe = createMemoryFiles(createRandom(1))
    await writeAll(probe)
    const opened = createMemoryFiles(createRandom(1))
    await openDurableLog({ ...OWNER, fs: opened.fs })
    for (let at = opened.getOperations() + 1; at <= probe.getOperations(); at++) {
      for (let gap = 1; gap <= SECOND_FAULT_GAP; gap++) {
        const files = createMemoryFiles(createRandom(at))
        const log = await openDurableLog({ ...OWNER, fs: files.fs, retryMs: 0 })
        files.setFault({ at, kind: 'operationFails', again: at + gap })
        for (const request of REQUESTS) while (!(await log.execute(request)).ok) expect(request.kind).toEqual('snapshot')
        await log.close()
        files.setFault(undefined)
        expect({ at, gap, found: describeStored(await reopen(files)) }).toEqual({ at, gap, found: describeStored(applyRequests(REQUESTS)) })
      }
    }
  })

  it('is reported, keeps what was answered, and acknowledges nothing meanwhile', async () => {
    const files = createMemoryFiles(createRandom(1))
    const log = await openDurableLog({ ...OWNER, fs: files.fs, retryMs: 1 })
    await log.execute({ kind: 'append', writeId: 1, entries: createEntries(1, 3, 1) })
    files.setFault({ at: files.getOperations() + 1, kind: 'diskFull' })
    const failed = new Promise<DiskAnswer>(resolve => log.watch(resolve))
    const answers = [log.execute({ kind: 'append', writeId: 2, entries: createEntries(4, 6, 1) }), log.execute({ kind: 'hardState', writeId: 3, state: { term: 2 } })]
    const reason = "data folder 'data': the disk is full (ENOSPC): ENOSPC: no space left on device, write"
    expect(await failed).toEqual({ writeId: 0, ok: false, reason })
    const before = files.getOperations()
    await waitFor('the log has tried ten operations again', () => files.getOperations() >= before + 10, { pollMs: 1 })
    await log.close()
    expect(await Promise.all(answers)).toEqual([{ writeId: 2, ok: false, reason }, { writeId: 3, ok: false, reason }])
    files.setFault(undefined)
    expect((await reopen(files)).entries.map(({ index }) => index)).toEqual([1, 2, 3])
  })

  // Guards against a process that ends because its disk is full when it starts.
  it('needs no room to open a folder that holds a log, and refuses to create one, naming the folder', async () => {
    const files = createMemoryFiles(createRandom(1))
    files.setFault({ at: 1, kind: 'diskFull' })
    const { code, message } = await getFailure(openDurableLog({ ...OWNER, fs: files.fs }))
    expect([code, message.startsWith("the data folder 'data' cannot be opened: the disk is full (ENOSPC)")]).toEqual(['ERR_CATKINFERRY_DISK_FAILED', true])
    files.setFault(undefined)
    await writeAll(files)
    files.crash()
    files.setFault({ at: files.getOperations() + 1, kind: 'diskFull' })
    const log = await openDurableLog({ ...OWNER, fs: files.fs, retryMs: 1 })
    expect(describeStored(log.stored)).toEqual(describeStored(applyRequests(REQUESTS)))
    const states: DiskAnswer[] = []
    log.watch(answer => states.push(answer))
    files.setFault(undefined)
    expect(await log.execute({ kind: 'hardState', writeId: 1, state: { term: 9 } })).toEqual({ writeId: 1, ok: true })
    expect(states.map(({ ok }) => ok)).toEqual([false, true])
    await log.close()
    expect((await reopen(files)).hardState).toEqual({ term: 9 })
  })

  it('syncs many waiting requests at once', async () => {
    const files = createMemoryFiles(createRandom(1))
    const log = await openDurableLog({ ...OWNER, fs: files.fs })
    const before = files.getOperations()
    const answers = await Promise.all(createEntries(1, 100, 1).map(entry => log.execute({ kind: 'append', writeId: entry.index, entries: [entry] })))
    expect(answers.every(({ ok }) => ok)).toEqual(true)
    expect(files.getOperations() - before).toEqual(2)
  })
})

describe('a damaged folder', () => {
  it('is refused for any flipped bit, naming file and offset', async () => {
    const files = createMemoryFiles(createRandom(1))
    await writeAll(files)
    files.crash()
    for (const path of files.getNames()) {
      const { byteLength } = files.getData(path)
      const flip = (byte: number): void => { files.getData(path)[byte] = (files.getData(path)[byte] ?? 0) ^ 0x10 }
      for (let byte = 0; byte < byteLength; byte += path.includes('snapshot') ? 37 : 1) {
        flip(byte)
        const failure = await getFailure(reopen(files))
        expect({ path, byte, code: failure.code }).toEqual({ path, byte, code: 'ERR_CATKINFERRY_DAMAGED_FILE' })
        expect(failure.message.startsWith(`'${path}' is damaged at offset `)).toEqual(true)
        flip(byte)
      }
    }
  })

  it('throws nothing but a CatkinferryError for arbitrary segment contents', async () => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 2_000 }), fc.nat(3_000), async (bytes, at) => {
      const files = createMemoryFiles(createRandom(1))
      await writeAll(files)
      files.crash()
      const path = files.getNames().find(name => name.includes('segment')) as string
      const data = files.getData(path)
      data.set(bytes.subarray(0, Math.max(0, data.byteLength - at)), Math.min(at, data.byteLength))
      await reopen(files).catch((error: unknown) => { if (!(error instanceof CatkinferryError)) throw error })
    }), { seed: 1, numRuns: 200 })
  })

  it('is refused when it belongs to another host or group, naming both', async () => {
    const files = createMemoryFiles(createRandom(1))
    await reopen(files)
    const { code, message } = await getFailure(openDurableLog({ ...OWNER, host: 'b', fs: files.fs }))
    expect(code).toEqual('ERR_CATKINFERRY_FOREIGN_DATA_FOLDER')
    expect(message).toEqual("'data/identity' belongs to host 'a' of group 'g', not to host 'b' of group 'g'")
  })

  it('is refused when the segments are missing but the identity file exists', async () => {
    const files = createMemoryFiles(createRandom(1))
    await writeAll(files)
    files.crash()
    for (const path of files.getNames().filter(name => name.includes('segment'))) await files.fs.removeFile(path)
    expect((await getFailure(reopen(files))).code).toEqual('ERR_CATKINFERRY_DAMAGED_FILE')
  })
})

describe('real files', () => {
  it('keep the state, refuse a second process, and ignore a stale lock', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'durable-log-'))
    try {
      const log = await openDurableLog({ ...OWNER, folder })
      for (const request of REQUESTS) expect(await log.execute(request)).toEqual({ writeId: request.writeId, ok: true })
      expect((await getFailure(openDurableLog({ ...OWNER, folder }))).code).toEqual('ERR_CATKINFERRY_DATA_FOLDER_LOCKED')
      await log.close()
      await writeFile(join(folder, 'lock'), JSON.stringify({ pid: process.pid, startedAt: 'another start', boot: 'another boot' }))
      const again = await openDurableLog({ ...OWNER, folder })
      expect(describeStored(again.stored)).toEqual(describeStored(applyRequests(REQUESTS)))
      expect(again.stored.incarnation).toEqual(log.stored.incarnation)
      await again.close()
    } finally {
      await rm(folder, { recursive: true, force: true })
    }
  })
})
