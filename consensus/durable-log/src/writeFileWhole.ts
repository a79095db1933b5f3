/** Writes a file so that it is there whole or not at all. */
import type { FileOperations } from './fileOperations.ts'
import { TEMPORARY_SUFFIX } from './formats.ts'

/** Writes to a temporary name, syncs, renames and syncs the folder. */
export async function writeFileWhole (opts: { readonly fs: FileOperations, readonly folder: string, readonly name: string, readonly blocks: readonly Uint8Array[] }): Promise<void> {
  const { fs, folder, name, blocks } = opts
  const temporary = `${folder}/${name}${TEMPORARY_SUFFIX}`
  const file = await fs.createFile(temporary)
  try {
    for (const block of blocks) await file.write(block)
    await file.sync()
  } finally {
    await file.close()
  }
  await fs.rename(temporary, `${folder}/${name}`)
  await fs.syncFolder(folder)
}
