/** Prints how long operators wait for acknowledgements once calm has begun: `node --import tsx testing/fleet/src/main.ts [SEEDS] [FIRST_SEED] [TIMEOUT_MS] [LINK_RETURN_MS] [JOINING_CORES]`. */
import { measureAcknowledgements } from './acknowledgements.ts'

const [seeds = 50, firstSeed = 1, commandTimeoutMs = 2_500, maxLinkReturnMs = 0, joiningCores] = process.argv.slice(2).map(Number)
const ACK_BOUND_MS = 5_000
const QUANTILES = [0.5, 0.9, 0.99, 1]
const times: Record<'sent before the calm, whole time' | 'waiting when calm began' | 'sent in the calm', number[]> = { 'sent before the calm, whole time': [], 'waiting when calm began': [], 'sent in the calm': [] }

for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
  const played = measureAcknowledgements({ seed, commandTimeoutMs, maxLinkReturnMs, joiningCores, onEvent: seeds === 1 ? console.log : undefined })
  for (const { sentAt, calmAt, ackMs } of played) if (sentAt < calmAt) times['sent before the calm, whole time'].push(ackMs + calmAt - sentAt)
  const orders = played.filter(({ ackMs }) => ackMs >= 0)
  for (const { sentAt, calmAt, ackMs } of orders) times[sentAt < calmAt ? 'waiting when calm began' : 'sent in the calm'].push(ackMs)
  for (const { name, sentAt, ackMs, tries } of orders) if (ackMs > ACK_BOUND_MS) console.log(`seed ${seed}: ${name}, sent at ${sentAt}, acknowledged after ${ackMs} ms and ${tries} tries`)
}
for (const [name, list] of Object.entries(times)) {
  const sorted = list.toSorted((a, b) => a - b)
  console.log(`${name}: ${sorted.length} orders,`, QUANTILES.map(quantile => `p${quantile * 100} ${sorted[Math.ceil(quantile * sorted.length) - 1]}`).join(', '), 'ms')
}
