/** Settings of a simulated deployment: the schema's defaults and the deployment's overrides. */
import { formatAdapterKey } from '@catkinferry/core.types'
import type { ResolvedAdapter, SettingsView } from '@catkinferry/core.types'
import { findKey } from '@catkinferry/settings.schema'

export const POOL = 'notices'
export const VERSION = 'v1'
const MODEL = 'base'

/** Creates a settings view in which every adapter name exists, with one version. */
export function createSimSettings (overrides: Readonly<Record<string, unknown>>): SettingsView {
  const resolveAdapter = (adapter: string): ResolvedAdapter => ({ adapter, version: VERSION, adapterKey: formatAdapterKey(adapter, VERSION), model: MODEL, pool: POOL })
  return {
    getRevision: () => 1,
    isReady: () => true,
    getValue: <T>(_path: string, key: string) => (overrides[key] ?? findKey(key)?.defaultValue) as T,
    resolveAdapter,
    listAdapters: () => [],
    getCutOffSince: () => undefined
  }
}
