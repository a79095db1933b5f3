/** Parses paths of the two settings trees and gives the level of a path. */
import type { NodePath } from '@catkinferry/core.types'

/** The two trees, by the first segment of a path. */
export const TreeName = { FLEET: 'fleet', MODELS: 'models' } as const
export type TreeName = typeof TreeName[keyof typeof TreeName]

/** Levels of both trees, root first; a path with `n` segments is at the level with index `n - 1`. */
export const TREE_LEVELS = {
  fleet: ['fleet', 'region', 'zone', 'rack', 'host'],
  models: ['models', 'model', 'adapter', 'version']
} as const

export type FleetLevel = typeof TREE_LEVELS.fleet[number]
export type ModelsLevel = typeof TREE_LEVELS.models[number]
export type Level = FleetLevel | ModelsLevel

/** Longest name of one path segment, in characters. */
export const MAX_SEGMENT_LENGTH = 128

const SEGMENT_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/

/** A path that follows the rules of its tree. */
export interface ParsedPath {
  readonly tree: TreeName
  readonly level: Level
  readonly segments: readonly string[]
}

/** Parses a path; returns the reason as text if the path is invalid. */
export function parsePath (path: NodePath): ParsedPath | string {
  const segments = path.split('/')
  const tree = segments[0]
  if (tree !== TreeName.FLEET && tree !== TreeName.MODELS) return 'must begin with fleet or models'
  const levels: readonly Level[] = TREE_LEVELS[tree]
  const level = levels[segments.length - 1]
  if (level === undefined) return `has ${segments.length} segments; ${tree} paths have at most ${levels.length}: ${levels.join('/')}`
  const invalid = segments.find(segment => !SEGMENT_PATTERN.test(segment) || segment.length > MAX_SEGMENT_LENGTH)
  if (invalid !== undefined) return `segment '${invalid.slice(0, MAX_SEGMENT_LENGTH)}' must be 1 to ${MAX_SEGMENT_LENGTH} of A-Z a-z 0-9 . _ - and begin with a letter or digit`
  return { tree, level, segments }
}

/** The path of the parent; undefined for a root. */
export function getParentPath (path: NodePath): NodePath | undefined {
  const end = path.lastIndexOf('/')
  return end < 0 ? undefined : path.slice(0, end)
}
