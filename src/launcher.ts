/** Runs the bundled program from its V8 code cache; without a usable cache the program is compiled from source. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

/** Built-in Node modules that the program loads; defined when the launcher is built. */
declare const BUILTIN_MODULES: readonly string[];

/** V8 flags. A host serves few requests per second, so optimizing hot code often costs more than it saves: the
 * WebAssembly of the HTTP parser is never optimized, and JavaScript is optimized ten times later than by default. */
const V8_FLAGS = ["--liftoff-only", "--interrupt-budget=600000"];

/** Environment variable; set to any value, it makes the process write its compiled code to the code cache on exit. */
const RECORD_VARIABLE = "BEECHKEEL_RECORD_CODE_CACHE";

/** Signature of the CommonJS module wrapper. */
type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: NodeJS.Module,
  filename: string,
  folder: string,
) => void;

function launch(): void {
  // Once a flag is changed, V8 rejects the code cache of every module that is loaded afterwards.
  for (const name of BUILTIN_MODULES) require(name);
  for (const flag of V8_FLAGS) setFlagsFromString(flag);
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

/** Reads the code cache; V8 itself rejects one made from another source, by another version or with other flags. */
function readCache(path: string): Buffer | undefined {
  return existsSync(path) ? readFileSync(path) : undefined;
}

function wrapModule(source: string): string {
  return `(function(exports,require,module,__filename,__dirname){${source}\n})`;
}

launch();
