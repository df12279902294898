/** Path of the program bundled into a single file, which runs with Node. */
export const BUNDLE_PATH = "dist/beechkeel.cjs";

/** Path of the program built as a single executable. */
export const BINARY_PATH = "dist/beechkeel";
