/** A machine of the core loses its disk right after an acknowledgement and is back; longer than `catch_up_s` later another one does. */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase, Verdict, waitFor } from '../lib/deployment.mjs'
import { buildConfiguration, createOperator } from '../lib/operator.mjs'

const CHANGES = Number(process.env.CHANGES ?? 240)
const EXTRA_ROUTES = 240
const CHANGE_INTERVAL_MS = 60
/** Bandwidth between the two regions of the site. */
const REGION_MBPS = 21
const DOWN_MS = 1_000
/** `catch_up_s` is 4: the machine counts as lost until then. One second more is left. */
const BACK_MS = 5_000
const SETTLE_MS = 4_000
/** `recovery_s` is 12, `contact_ms` 3,000. */
const READ_MS = 20_000
const MARMARA = ['core-marmara-a', 'core-marmara-b']
const ANKARA = 'core-ankara-a'
const CORES = [...MARMARA, ANKARA]

/** With `TROUBLE=0` the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase({ folder: fileURLToPath(new URL('.', import.meta.url)), hasTrouble }, async ({ record, start }) => {
  const deployment = await start({
    machines: [
      { name: MARMARA[0], machineClass: 'core', zone: 'marmara-a' },
      { name: MARMARA[1], machineClass: 'core', zone: 'marmara-b' },
      { name: ANKARA, machineClass: 'core', zone: 'ankara-a' },
      { name: 'front-marmara-a', machineClass: 'frontend', zone: 'marmara-a' }
    ],
    replicas: [{ service: 'kayit-servis', zone: 'marmara-a' }],
    regionMbps: REGION_MBPS
  })
  await deployment.startAll()
  const operator = createOperator({ deployment, cores: CORES, record })
  const isLeader = name => {
    const { log } = deployment.nodes.get(name)
    return log.lastIndexOf('"this voter became the leader"') > log.lastIndexOf('"this voter no longer leads"')
  }
  let version = 1
  const change = async core => {
    version += 1
    if (!await operator.replace(version, buildConfiguration(version, EXTRA_ROUTES), { core })) throw new Error(`configuration ${version} is not acknowledged`)
  }
  /** The machine acknowledges a change, loses its disk, and starts with an empty one. */
  const changeAndLoseDisk = async core => {
    await change(core)
    if (!hasTrouble) return
    await deployment.kill(core)
    await deployment.loseDisk(core)
    await sleep(DOWN_MS)
    await deployment.start(core)
  }
  await change()
  await waitFor('the front is ready', () => deployment.isReady('front-marmara-a'))
  for (let count = 1; count < CHANGES; count += 1) {
    const sentAt = Date.now()
    await change()
    await sleep(Math.max(0, sentAt + CHANGE_INTERVAL_MS - Date.now()))
  }
  // All machines hold everything before the first disk is lost.
  await sleep(SETTLE_MS)
  for (const core of CORES) if (await operator.read(core) !== version) throw new Error(`${core} does not read the newest configuration before the disruption`)

  await changeAndLoseDisk(ANKARA)
  await sleep(BACK_MS)
  await changeAndLoseDisk(MARMARA.find(isLeader) ?? MARMARA[0])
  const until = Date.now() + (hasTrouble ? READ_MS : SETTLE_MS)
  const read = new Map()
  while (Date.now() < until) {
    for (const core of CORES) read.set(core, await operator.read(core))
    if (hasTrouble && [...read.values()].every(found => found === version)) break
    await sleep(500)
  }
  const found = CORES.map(core => `${core}: ${read.get(core) ?? 'nothing'}`).join(', ')
  record(`the newest acknowledged configuration is ${version}; read back: ${found}`)
  const holds = [...read.values()].some(value => value === version) && [...read.values()].every(value => value === undefined || value === version)
  return holds ? { verdict: Verdict.HELD, reason: `configuration ${version} is read back (${found})` } : { verdict: Verdict.BROKEN, reason: `configuration ${version} was acknowledged and is not read back ${READ_MS / 1_000} s after the second disk was lost (${found})` }
})
