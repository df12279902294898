import test from "ava";
import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";

// Guards against warnings about single requests that are dropped, without notice, when a process ends.
test("warnings are kept beyond the limit of other lines, and dropped lines are counted when the logger closes", async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [
    "--import=tsx",
    "tests/logging/write_many_lines.ts",
  ]);
  const lines = stdout.trim().split("\n");
  const count = (event: string) =>
    lines.filter((line) => line.endsWith(`event=${event}`)).length;
  t.is(count("cut"), 300);
  t.is(count("sent"), 400);
  t.true(
    lines.some((line) =>
      line.includes("dropped=100") && line.includes("log_lines_dropped")
    ),
  );
});
