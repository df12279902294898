import { build } from "esbuild";

/** The program in one file, for runs without a binary. */
export const BUNDLE = "dist/beechkeel.cjs";

await build({
  entryPoints: ["src/main.ts"],
  outfile: BUNDLE,
  format: "cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  external: ["unix-dgram", "bufferutil", "utf-8-validate"],
  logLevel: "error",
});
