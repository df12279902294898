import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

/** Builds the launcher that runs a program from its code cache.
 * @param path Where it is written.
 * @param builtins Names of the runtime's own modules that the program loads. */
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
