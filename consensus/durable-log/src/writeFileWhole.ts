/** Writes a file so that it is there whole or not at all. */
import type { FileOperations } from './fileOperations.ts'
import { TEMPORARY_SUFFIX } from './formats.ts'

export interface WholeFile {
  readonly fs: FileOperations
  readonly folder: string
  readonly name: string
}

/** Writes to the temporary name and syncs. */
export async function writeTemporary ({ fs, folder, name, blocks }: WholeFile & { readonly blocks: readonly Uint8Array[] }): Promise<void> {
  const temporary = `${folder}/${name}${TEMPORARY_SUFFIX}`
  const file = await fs.createFile(temporary)
  try {
    for (const block of blocks) await file.write(block)
    await file.sync()
  } finally {
    await file.close()
  }
}

/** Gives a temporary file its name and syncs the folder. */
export async function finishTemporary ({ fs, folder, name }: WholeFile): Promise<void> {
  await fs.rename(`${folder}/${name}${TEMPORARY_SUFFIX}`, `${folder}/${name}`)
  await fs.syncFolder(folder)
}

/** Does both. */
export async function writeFileWhole (opts: WholeFile & { readonly blocks: readonly Uint8Array[] }): Promise<void> {
  await writeTemporary(opts)
  await finishTemporary(opts)
}
