/** Bundles the program into a single file. */
import process from "node:process";
import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";
import { BUNDLE_PATH } from "./bundle_path.ts";

await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ["src/main.ts"],
  outfile: process.argv[2] ?? BUNDLE_PATH,
});
