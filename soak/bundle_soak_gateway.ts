import process from "node:process";
import { build } from "esbuild";
import { BUNDLE_OPTIONS } from "../tools/bundle_options.ts";

/** Bundles the gateway of the soak, and returns the command that runs it.
 * @param folder Folder for the bundle. */
export async function bundleSoakGateway(
  folder: string,
): Promise<readonly [string, ...string[]]> {
  const outfile = `${folder}/soak_gateway.cjs`;
  await build({
    ...BUNDLE_OPTIONS,
    entryPoints: ["soak/soak_gateway.ts"],
    outfile,
  });
  return [process.execPath, outfile];
}
