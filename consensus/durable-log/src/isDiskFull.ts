/** Tells whether an error means that the disk has no room; used when the folder is opened and when a failure is described. */
export function isDiskFull (error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException
  return code === 'ENOSPC' || code === 'EDQUOT'
}
