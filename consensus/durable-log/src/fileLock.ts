/**
 * Locks a data folder when the durable log opens it, so that only one process uses it. The lock file identifies its holder
 * by process id, start time and boot id, so a lock left behind by a crash is recognized as stale.
 */
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises'
import { CatkinferryError, ErrorCode } from '@catkinferry/core.errors'

/** Maximum attempts to take the lock while other processes take, release or remove it. */
const MAX_TRIES = 5

interface Holder {
  readonly pid: number
  /** Start of the process in clock ticks since boot. */
  readonly startedAt: string
  readonly boot: string
}

/** Index of the start time among the fields after the command name in /proc/PID/stat. */
const START_TIME_FIELD = 19

async function readStartTime (pid: number): Promise<string | undefined> {
  try {
    const text = await readFile(`/proc/${pid}/stat`, 'utf8')
    return text.slice(text.lastIndexOf(')') + 2).split(' ')[START_TIME_FIELD]
  } catch {
    return undefined
  }
}

async function readBootId (): Promise<string> {
  try {
    return (await readFile('/proc/sys/kernel/random/boot_id', 'utf8')).trim()
  } catch {
    return ''
  }
}

async function isAlive (holder: Holder, boot: string): Promise<boolean> {
  if (holder.boot !== boot) return false
  return await readStartTime(holder.pid) === holder.startedAt
}

function parseHolder (text: string): Holder | undefined {
  try {
    return JSON.parse(text) as Holder
  } catch {
    return undefined
  }
}

/** Removes a lock whose process has ended; restores it if another process took the lock in the meantime. */
async function removeStaleLock (path: string, seen: string, ownPath: string): Promise<void> {
  const movedPath = `${ownPath}.stale`
  await rename(path, movedPath).catch(() => undefined)
  const moved = await readFile(movedPath, 'utf8').catch(() => undefined)
  if (moved !== undefined && moved !== seen) await link(movedPath, path).catch(() => undefined)
  await rm(movedPath, { force: true })
}

/** Takes the lock at `path` and returns its release function. Throws `DATA_FOLDER_LOCKED` when a live process holds it. */
export async function takeFileLock (path: string): Promise<() => Promise<void>> {
  const boot = await readBootId()
  const text = JSON.stringify({ pid: process.pid, startedAt: await readStartTime(process.pid) ?? '', boot })
  const ownPath = `${path}.${process.pid}`
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    await writeFile(ownPath, text)
    const taken = await link(ownPath, path).then(() => true, () => false)
    await rm(ownPath, { force: true })
    if (taken) return () => rm(path, { force: true })
    const seen = await readFile(path, 'utf8').catch(() => undefined)
    if (seen === undefined) continue
    const holder = parseHolder(seen)
    if (holder !== undefined && await isAlive(holder, boot)) throw createLockedError(path, holder.pid)
    await removeStaleLock(path, seen, ownPath)
  }
  throw createLockedError(path, undefined)
}

function createLockedError (path: string, pid: number | undefined): CatkinferryError {
  return new CatkinferryError({
    code: ErrorCode.DATA_FOLDER_LOCKED,
    message: `the data folder is in use: '${path}' is held by ${pid === undefined ? 'another process' : `process ${pid}`}`,
    step: 'openDataFolder',
    hint: 'Stop the other process, or give this one a data folder of its own.'
  })
}
