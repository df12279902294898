/** Runs the bundled program from its code cache; without a usable cache the program is compiled from its source. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

/** The runtime's own modules that the program loads; set where the launcher is built. */
declare const BUILTIN_MODULES: readonly string[];

/** Flags of the engine. A host serves few requests a second, so that optimizing what runs often costs more than it saves: the
 * HTTP parser's WebAssembly is never optimized, and JavaScript ten times later than by default. */
const ENGINE_FLAGS = ["--liftoff-only", "--interrupt-budget=600000"];

/** Set to any value, makes the process write what it has compiled to the code cache when it ends. */
const RECORD_VARIABLE = "BEECHKEEL_RECORD_CODE_CACHE";

/** Signature of the function into which a CommonJS module is wrapped. */
type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: NodeJS.Module,
  filename: string,
  folder: string,
) => void;

function launch(): void {
  // A changed flag makes the engine refuse the code cache of modules that are loaded after it.
  for (const name of BUILTIN_MODULES) require(name);
  for (const flag of ENGINE_FLAGS) setFlagsFromString(flag);
  const path = `${__dirname}/program.cjs`;
  const cachePath = `${path}.cache`;
  const isRecording = process.env[RECORD_VARIABLE] !== undefined;
  const script = new Script(wrapModule(readFileSync(path, "latin1")), {
    filename: path,
    cachedData: isRecording ? undefined : readCache(cachePath),
  });
  if (script.cachedDataRejected) {
    console.error(`level=warn event=code_cache_refused path=${cachePath}`);
  }
  if (isRecording) {
    process.on(
      "exit",
      () => writeFileSync(cachePath, script.createCachedData()),
    );
  }
  const run = script.runInThisContext() as ModuleFunction;
  run(exports, require, module, path, __dirname);
}

/** Reads the cache; V8 itself refuses one that was made from another source, by another version or with other flags. */
function readCache(path: string): Buffer | undefined {
  return existsSync(path) ? readFileSync(path) : undefined;
}

function wrapModule(source: string): string {
  return `(function(exports,require,module,__filename,__dirname){${source}\n})`;
}

launch();
