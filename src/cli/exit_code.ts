/** Exit codes of the program. */
export const EXIT_CODE = {
  /** All went well. */
  ok: 0,
  /** A checked file has errors, or an answer says so. */
  refused: 1,
  /** The arguments are wrong. */
  usage: 2,
  /** A router could not be reached. */
  unreachable: 3,
} as const;
