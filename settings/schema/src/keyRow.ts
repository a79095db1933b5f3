/** Type of the rows of the settings schema, one for each settings key. */
import type { z } from 'zod'
import type { Level, TreeName } from './paths.ts'

/** The part of the trees that a key belongs to. */
export type KeyScope = 'fleet' | 'model' | 'adapter' | 'version'

/** One key of the schema. */
export interface KeyRow {
  readonly key: string
  readonly scope: KeyScope
  readonly tree: TreeName
  /** Levels at which the key may be set; deeper levels inherit it. */
  readonly levels: readonly Level[]
  readonly type: z.ZodType
  /** The rule for values, in words. */
  readonly rule: string
  readonly unit: string
  /** Effective value where no node sets the key; undefined where there is none. */
  readonly defaultValue: unknown
  readonly description: string
}
