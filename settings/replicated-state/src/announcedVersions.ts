/** The newest announced version of each adapter. An adapter without an entry counts as being at its first version. */
import type { AdapterName, AnnouncedVersion, ModelId } from '@catkinferry/core.types'

export interface AnnouncedVersions {
  /** Returns the highest version announced so far, which may be above `version`. */
  readonly announce: (model: ModelId, adapter: AdapterName, version: number) => number
  readonly get: (model: ModelId, adapter: AdapterName) => number | undefined
  readonly listAfter: (sequence: number) => readonly AnnouncedVersion[]
  readonly getSequence: () => number
  readonly load: (versions: readonly AnnouncedVersion[]) => void
}

/** Creates an empty table. */
export function createAnnouncedVersions (): AnnouncedVersions {
  /** In the order of announcement: a newer version moves its adapter to the end. */
  const rows = new Map<string, AnnouncedVersion>()
  let sequence = 0

  function put (row: AnnouncedVersion): void {
    const key = `${row.model}/${row.adapter}`
    rows.delete(key)
    rows.set(key, row)
    sequence = Math.max(sequence, row.sequence)
  }

  return {
    announce: (model, adapter, version) => {
      const known = rows.get(`${model}/${adapter}`)
      if (known !== undefined && known.version >= version) return known.version
      put({ model, adapter, version, sequence: sequence + 1 })
      return version
    },
    get: (model, adapter) => rows.get(`${model}/${adapter}`)?.version,
    listAfter: after => after >= sequence ? [] : [...rows.values()].filter(row => row.sequence > after),
    getSequence: () => sequence,
    load: versions => { for (const row of versions) put(row) }
  }
}
