/** File operations of a disk that is full while a test says so. */
import { createFileOperations } from '@catkinferry/consensus.durable-log'
import type { FileOperations } from '@catkinferry/consensus.durable-log'

export function createFillableDisk (isFull: () => boolean): FileOperations {
  const fs = createFileOperations()
  const createFile: FileOperations['createFile'] = async path => {
    const file = await fs.createFile(path)
    const write = async (data: Uint8Array): Promise<void> => {
      if (isFull()) throw Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' })
      await file.write(data)
    }
    return { ...file, write }
  }
  return { ...fs, createFile }
}
