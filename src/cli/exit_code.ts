/** Exit codes of the program. */
export const EXIT_CODE = {
  /** The command succeeded. */
  ok: 0,
  /** A file has errors, or a router's response has a status other than 200. */
  refused: 1,
  /** The arguments are invalid. */
  usage: 2,
  /** A router could not be reached. */
  unreachable: 3,
  /** A file has no errors, but something in it hardly means what it says. */
  warned: 4,
} as const;
