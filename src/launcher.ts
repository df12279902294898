/** Runs the bundled program from its code cache; without a usable cache the program is compiled from its source. */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { Script } from "node:vm";

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
  const path = `${__dirname}/program.cjs`;
  const cachePath = `${path}.cache`;
  const isRecording = process.env[RECORD_VARIABLE] !== undefined;
  const script = new Script(wrapModule(readFileSync(path, "latin1")), {
    filename: path,
    cachedData: isRecording ? undefined : readCache(cachePath),
  });
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
