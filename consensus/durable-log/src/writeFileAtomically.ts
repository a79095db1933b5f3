/**
 * Writes files atomically: after a crash a file exists completely or not at all. Used for the identity file when a data
 * folder is initialized, and for each snapshot.
 */
import type { FileOperations } from './fileOperations.ts'
import { TEMPORARY_SUFFIX } from './formats.ts'

export interface AtomicFile {
  readonly fs: FileOperations
  readonly folder: string
  readonly name: string
}

/** Writes a file under its temporary name and syncs it. */
export async function writeTemporaryFile ({ fs, folder, name, blocks }: AtomicFile & { readonly blocks: readonly Uint8Array[] }): Promise<void> {
  const temporary = `${folder}/${name}${TEMPORARY_SUFFIX}`
  const file = await fs.createFile(temporary)
  try {
    for (const block of blocks) await file.write(block)
    await file.sync()
  } finally {
    await file.close()
  }
}

/** Renames a temporary file to its final name and syncs the folder. */
export async function renameTemporaryFile ({ fs, folder, name }: AtomicFile): Promise<void> {
  await fs.rename(`${folder}/${name}${TEMPORARY_SUFFIX}`, `${folder}/${name}`)
  await fs.syncFolder(folder)
}

/** Writes a file atomically, by way of a temporary file. */
export async function writeFileAtomically (opts: AtomicFile & { readonly blocks: readonly Uint8Array[] }): Promise<void> {
  await writeTemporaryFile(opts)
  await renameTemporaryFile(opts)
}
