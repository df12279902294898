/** Makes the program with a code cache beside it: the folder's `beechkeel.cjs` runs `program.cjs` from the cache that a
 * gateway recorded while it served requests of each kind. */
import { isBuiltin } from "node:module";
import process from "node:process";
import { build, type Metafile } from "esbuild";
import { Random } from "../src/random/random.ts";
import { SoakCaller } from "../soak/soak_caller.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";
import { buildLauncher } from "./build_launcher.ts";
import { BUNDLE_OPTIONS } from "./bundle_options.ts";

/** Where the files go unless another folder is named. */
const DEFAULT_FOLDER = "target";
/** Gateways that record: two, so that what hosts tell each other is compiled too. */
const GATEWAYS = 2;
/** Callers of the recorded run. */
const CALLERS = 4;
/** Time for which they send requests, in milliseconds. */
const RUN_MS = 1_500;
/** Least and most pause of a caller between two requests, in milliseconds. */
const CALLER_PAUSE_MS = [5, 20] as const;

const folder = process.argv[2] ?? DEFAULT_FOLDER;
const { metafile } = await build({
  ...BUNDLE_OPTIONS,
  entryPoints: ["src/main.ts"],
  outfile: `${folder}/program.cjs`,
  metafile: true,
});
await buildLauncher(`${folder}/beechkeel.cjs`, findBuiltins(metafile));
process.env.BEECHKEEL_RECORD_CODE_CACHE = "1";
await record();
process.exit();

/** Names of the runtime's own modules that the bundled inputs load. */
function findBuiltins({ inputs }: Metafile): string[] {
  const paths = Object.values(inputs).flatMap((input) => input.imports)
    .map(({ path }) => path).filter((path) => isBuiltin(path));
  return [...new Set(paths)];
}

async function record(): Promise<void> {
  const fleet = await SoakFleet.create({
    seed: 1,
    gateways: GATEWAYS,
    engines: 2,
    plain: 2,
    program: [process.execPath, `${folder}/beechkeel.cjs`],
  });
  try {
    await call(fleet);
    for (const { program } of fleet.gateways) {
      program.signal("SIGINT");
      await program.waitForExit();
    }
  } finally {
    await fleet.close();
  }
}

/** Sends requests of each kind, as callers do. */
async function call(fleet: SoakFleet): Promise<void> {
  const random = Random.create(1);
  const endsAt = performance.now() + RUN_MS;
  const callers = Array.from(
    { length: CALLERS },
    (_, index) =>
      SoakCaller.create(`recorded-${index}`, fleet, random.fork(), false),
  );
  const running = callers.map((caller) =>
    caller.run(
      () => performance.now() >= endsAt,
      () => random.integer(...CALLER_PAUSE_MS),
    )
  );
  await Promise.all(running);
}
