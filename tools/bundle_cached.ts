/** Bundles the program and records a code cache for it: `beechkeel.cjs` in the output folder runs `program.cjs` from
 * the V8 code cache that a gateway recorded while it served requests of each kind. */
import { isBuiltin } from "node:module";
import process from "node:process";
import { build, type Metafile } from "esbuild";
import { Random } from "../src/random/random.ts";
import { SoakCaller } from "../soak/soak_caller.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";
import { buildLauncher } from "./build_launcher.ts";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

/** Output folder if none is given on the command line. */
const DEFAULT_FOLDER = "target";
/** Number of gateways in the recorded run; two, so that code for communication between hosts is compiled too. */
const GATEWAY_COUNT = 2;
/** Number of callers in the recorded run. */
const CALLER_COUNT = 4;
/** Time for which the callers send requests, in milliseconds. */
const LOAD_DURATION_MS = 1_500;
/** Minimum and maximum pause of a caller between two requests, in milliseconds. */
const CALLER_PAUSE_MS = [5, 20] as const;

const folder = process.argv[2] ?? DEFAULT_FOLDER;
const { metafile } = await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ["src/main.ts"],
  outfile: `${folder}/program.cjs`,
  metafile: true,
});
await buildLauncher(`${folder}/beechkeel.cjs`, listBuiltinModules(metafile));
process.env.BEECHKEEL_RECORD_CODE_CACHE = "1";
await recordCodeCache();
process.exit();

/** Returns the names of the Node built-in modules that the bundled inputs import. */
function listBuiltinModules({ inputs }: Metafile): string[] {
  const paths = Object.values(inputs).flatMap((input) => input.imports)
    .map(({ path }) => path).filter((path) => isBuiltin(path));
  return [...new Set(paths)];
}

async function recordCodeCache(): Promise<void> {
  const fleet = await SoakFleet.create({
    seed: 1,
    gateways: GATEWAY_COUNT,
    engines: 2,
    plain: 2,
    program: [process.execPath, `${folder}/beechkeel.cjs`],
  });
  try {
    await generateRequests(fleet);
    for (const { program } of fleet.gateways) {
      program.signal("SIGINT");
      await program.waitForExit();
    }
  } finally {
    await fleet.close();
  }
}

/** Sends requests of each kind to the gateways. */
async function generateRequests(fleet: SoakFleet): Promise<void> {
  const random = Random.create(1);
  const deadline = performance.now() + LOAD_DURATION_MS;
  const callers = Array.from(
    { length: CALLER_COUNT },
    (_, index) =>
      SoakCaller.create(`recorded-${index}`, fleet, random.fork(), false),
  );
  const running = callers.map((caller) =>
    caller.run(
      () => performance.now() >= deadline,
      () => random.integer(...CALLER_PAUSE_MS),
    )
  );
  await Promise.all(running);
}
