/** The program in one file, for runs without the binary. */
export const BUNDLE = "dist/beechkeel.cjs";

/** The program as one executable. */
export const BINARY = "dist/beechkeel";
