import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

/** Builds the launcher that runs the program from its code cache.
 * @param path Path of the output file.
 * @param builtins Names of the Node built-in modules that the program loads. */
export async function buildLauncher(
  path: string,
  builtins: readonly string[],
): Promise<void> {
  await build({
    ...BUNDLE_OPTIONS,
    entryPoints: ["src/launcher.ts"],
    outfile: path,
    define: { BUILTIN_MODULES: JSON.stringify(builtins) },
  });
}
