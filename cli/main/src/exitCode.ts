/** Exit codes of `catkinferry`. Scripts may rely on them. */
export const ExitCode = {
  OK: 0,
  /** The host refused the request, or it failed; this call changed nothing. */
  REFUSED: 1,
  /** The command line or a file given to it is invalid. */
  BAD_ARGUMENT: 2,
  /** The host did not answer, and no change was submitted. */
  UNREACHABLE: 3,
  /** The expected revision was not the current one. */
  CONFLICT: 4,
  /** The change may have been accepted: run the same command with the printed `--change-id`. */
  OUTCOME_UNKNOWN: 5
} as const

export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
