/** Exit codes of `catkinferry`. Scripts may rely on them. */
export const ExitCode = {
  OK: 0,
  /** The host refused, or something failed; nothing was changed by this call. */
  REFUSED: 1,
  /** The command line or a file given to it is wrong. */
  BAD_ARGUMENT: 2,
  /** No answer from the host, and nothing was asked to change. */
  UNREACHABLE: 3,
  /** The expected revision was not the current one. */
  CONFLICT: 4,
  /** The change may have been accepted: run the same command with the printed `--change-id`. */
  OUTCOME_UNKNOWN: 5
} as const

export type ExitCode = typeof ExitCode[keyof typeof ExitCode]
