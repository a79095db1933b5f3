/** Builders of value rules and key rows, which keep the table of settings keys at one line per key. */
import * as z from 'zod'
import type { KeyRow, KeyScope } from './keyRow.ts'
import { TREE_LEVELS, TreeName } from './paths.ts'
import type { FleetLevel, ModelsLevel } from './paths.ts'

/** Longest text value, in characters. */
const MAX_TEXT_LENGTH = 1024

/** A rule for values, with its description in words and its unit. */
export interface ValueRule {
  readonly type: z.ZodType
  readonly rule: string
  readonly unit: string
}

/** A whole number from `min` to `max`. */
export function createIntRule (unit: string, min: number, max: number): ValueRule {
  return { type: z.int().min(min).max(max), rule: `whole number from ${min} to ${max}`, unit }
}

/** A number from `min` to `max`. */
export function createNumberRule (unit: string, min: number, max: number): ValueRule {
  return { type: z.number().min(min).max(max), rule: `number from ${min} to ${max}`, unit }
}

/** True or false. */
export function createFlagRule (): ValueRule {
  return { type: z.boolean(), rule: 'true or false', unit: '' }
}

/** Text of bounded length that follows a pattern. */
export function createTextRule (pattern: RegExp, wording: string): ValueRule {
  return { type: z.string().max(MAX_TEXT_LENGTH).regex(pattern, wording), rule: wording, unit: '' }
}

/** Any shape that a zod schema describes. */
export function createShapeRule (type: z.ZodType, wording: string): ValueRule {
  return { type, rule: wording, unit: '' }
}

/** A key of the fleet tree that may be set from the root down to `deepest`. */
export function createFleetKey (key: string, rule: ValueRule, defaultValue: unknown, description: string, deepest: FleetLevel = 'host'): KeyRow {
  const levels = TREE_LEVELS.fleet.slice(0, TREE_LEVELS.fleet.indexOf(deepest) + 1)
  return { key, scope: 'fleet', tree: TreeName.FLEET, levels, ...rule, defaultValue, description }
}

/** A key of the models tree that may be set at the levels given. */
export function createModelsKey (key: string, scope: KeyScope, levels: readonly ModelsLevel[], rule: ValueRule, defaultValue: unknown, description: string): KeyRow {
  return { key, scope, tree: TreeName.MODELS, levels, ...rule, defaultValue, description }
}
