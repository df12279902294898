import process from "node:process";
import { build } from "esbuild";
import { BUNDLE } from "./bundle_path.ts";

/** Native modules that packages use where they are there. */
const OPTIONAL_MODULES = [
  "unix-dgram",
  "bufferutil",
  "utf-8-validate",
  "msgpackr-extract",
];
const ABSENT = "./tools/absent_module.cjs";

await build({
  entryPoints: ["src/main.ts"],
  outfile: process.argv[2] ?? BUNDLE,
  format: "cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  mainFields: ["module", "main"],
  alias: Object.fromEntries(OPTIONAL_MODULES.map((name) => [name, ABSENT])),
  logLevel: "error",
});
