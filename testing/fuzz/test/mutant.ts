/** Bundles the fuzzer with a mutated copy of one source file, for the tests of the fuzzer itself. */
import { build } from 'esbuild'
import { readFile } from 'node:fs/promises'
import { resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import type * as Fuzzer from '../src/runActions.ts'
import type { Mutation } from '../src/mutations.ts'

const ROOT = resolve(import.meta.dirname, '../../..')

/** Counts the occurrences of the mutation's search text in its file. */
export async function countOccurrences ({ file, find }: Mutation): Promise<number> {
  const text = await readFile(resolve(ROOT, file), 'utf8')
  return text.split(find).length - 1
}

/** Bundles `runActions` with the mutation applied, and imports the bundle. `index` makes the name of the bundle unique. */
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
