/** Builds the fuzzer over a product that is broken in one place. */
import { build } from 'esbuild'
import { readFile } from 'node:fs/promises'
import { resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import type * as Fuzzer from '../src/runActions.ts'
import type { Mutation } from '../src/mutations.ts'

const ROOT = resolve(import.meta.dirname, '../../..')

/** Counts how often the text to be replaced stands in its file. */
export async function countOccurrences ({ file, find }: Mutation): Promise<number> {
  const text = await readFile(resolve(ROOT, file), 'utf8')
  return text.split(find).length - 1
}

/** Bundles the runner with the mutation in place, and loads it. */
export async function loadMutant (mutation: Mutation, index: number): Promise<typeof Fuzzer> {
  const outfile = resolve(ROOT, `testing/fuzz/dist/mutant-${index}.mjs`)
  const mutated = resolve(ROOT, mutation.file)
  await build({
    entryPoints: [resolve(ROOT, 'testing/fuzz/src/runActions.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    logLevel: 'error',
    plugins: [{
      name: 'mutate',
      setup (bundler) {
        bundler.onResolve({ filter: /^[^./]/ }, ({ path, kind }) => {
          if (kind === 'entry-point' || path.startsWith('@catkinferry/')) return undefined
          return { path, external: true }
        })
        bundler.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
          const contents = await readFile(path, 'utf8')
          return { contents: path === mutated ? contents.replace(mutation.find, () => mutation.replace) : contents, loader: 'ts' }
        })
      }
    }]
  })
  return await import(pathToFileURL(outfile).href) as typeof Fuzzer
}
