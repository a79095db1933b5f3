import { findFreePort, waitFor } from '@catkinferry/testing.fakes'
import { expect } from 'earl'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, open, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { it } from 'node:test'

const MAIN = join(import.meta.dirname, '../src/main.ts')
const POLL_MS = 50

// Guards against a host that ends because the disk of its log is full.
it('catkinferryd serves while its log cannot be written', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'full-log-'))
  const [caller, operator] = [await findFreePort(), await findFreePort()]
  await writeFile(join(folder, 'host.yaml'), `
host: a-1
zone: a
region: r
path: fleet/r/a/k/a-1
group: g
listen: { caller: 127.0.0.1:${caller}, operator: 127.0.0.1:${operator}, peer: 127.0.0.1:0 }
peers: [{ host: a-1, zone: a, region: r, address: 127.0.0.1:1 }]
voters: [a-1]
leaseVoters: [a-1]
dataFolder: ${folder}/data
endpoints: []
`)
  const log = await open('/dev/full', 'w')
  const child = spawn(process.execPath, ['--import', 'tsx', MAIN, '--config', join(folder, 'host.yaml')], { stdio: ['ignore', log.fd, 'pipe'] })
  let errors = ''
  child.stderr?.on('data', chunk => { errors += String(chunk) })
  const ended = once(child, 'exit')
  let isServing = false
  await waitFor('the host serves or ends', async () => {
    isServing = await fetch(`http://127.0.0.1:${caller}/readyz`).then(() => true, () => false)
    return isServing || child.exitCode !== null
  }, { pollMs: POLL_MS })
  expect([isServing, errors]).toEqual([true, ''])
  child.kill('SIGTERM')
  expect([await ended, errors]).toEqual([[0, null], ''])
  await log.close()
  await rm(folder, { recursive: true })
})
