// The processes that a case has started; all of them end with it, however it ends.
import { spawn } from "node:child_process";

/** Time after which a case gives up. */
const MAX_CASE_MS = 115_000;

const children = new Set();

export function startChild(program, parameters, options) {
  const child = spawn(program, parameters, options);
  children.add(child);
  child.once("exit", () => children.delete(child));
  return child;
}

process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
});
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.on(signal, () => process.exit(2));
setTimeout(() => {
  console.error("the case takes too long");
  process.exit(2);
}, MAX_CASE_MS).unref();
