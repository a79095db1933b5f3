/** Faults of the simulated network between its participants: hosts, endpoints and the platform, identified by name. */
import type { Random } from '@catkinferry/core.random'

export interface LinkQuality {
  readonly delayMinMs: number
  readonly delayMaxMs: number
  readonly dropFraction: number
  readonly duplicateFraction: number
}

const HEALTHY: LinkQuality = { delayMinMs: 1, delayMaxMs: 3, dropFraction: 0, duplicateFraction: 0 }

export interface NetworkFaults {
  /** Blocks traffic from the participants that `from` matches to those that `to` matches. Returns a function that lifts the block. */
  readonly cut: (opts: { readonly from: (participant: string) => boolean, readonly to: (participant: string) => boolean }) => () => void
  readonly setQuality: (quality: Partial<LinkQuality>) => void
  /** True if no traffic is blocked and the links have their normal quality. */
  readonly isFaultless: () => boolean
  readonly healAll: () => void
  readonly isCut: (from: string, to: string) => boolean
  /** Chooses the delay in ms of each copy of a message; empty if the message is lost. */
  readonly pickDelays: (from: string, to: string) => number[]
}

type Cut = Parameters<NetworkFaults['cut']>[0]

/** Creates a healthy network. */
export function createNetworkFaults (opts: { random: Random }): NetworkFaults {
  const cuts = new Set<Cut>()
  let quality = HEALTHY

  function pickDelay (): number {
    return opts.random.nextInt(quality.delayMinMs, quality.delayMaxMs)
  }

  function isCut (from: string, to: string): boolean {
    for (const cut of cuts) {
      if (cut.from(from) && cut.to(to)) return true
    }
    return false
  }

  return {
    cut: cut => {
      cuts.add(cut)
      return () => { cuts.delete(cut) }
    },
    setQuality: changed => { quality = { ...quality, ...changed } },
    isFaultless: () => cuts.size === 0 && quality === HEALTHY,
    healAll: () => {
      cuts.clear()
      quality = HEALTHY
    },
    isCut,
    pickDelays: (from, to) => {
      if (from === to) return [0]
      if (isCut(from, to)) return []
      if (opts.random.nextFraction() < quality.dropFraction) return []
      const delays = [pickDelay()]
      if (opts.random.nextFraction() < quality.duplicateFraction) delays.push(pickDelay())
      return delays
    }
  }
}
