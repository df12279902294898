import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import test from "ava";
import { MINIMAL_SETTINGS } from "../settings/minimal_settings.ts";

interface ProgramResult {
  code: number;
  output: string;
}

async function runProgram(...args: string[]): Promise<ProgramResult> {
  return await new Promise((resolve) => {
    execFile(
      process.execPath,
      ["dist/beechkeel.cjs", ...args],
      (error, stdout, stderr) => {
        resolve({
          code: typeof error?.code === "number" ? error.code : 0,
          output: stdout + stderr,
        });
      },
    );
  });
}

const CASES: {
  name: string;
  content: unknown;
  args: string[];
  code: number;
  output: RegExp;
}[] = [
  {
    name: "valid settings",
    content: MINIMAL_SETTINGS,
    args: [],
    code: 0,
    output: /ok/,
  },
  {
    name: "an unknown field",
    content: { ...MINIMAL_SETTINGS, colour: 1 },
    args: [],
    code: 1,
    output: /colour/,
  },
  {
    name: "a wrong type",
    content: { ...MINIMAL_SETTINGS, http: { port: "x" } },
    args: [],
    code: 1,
    output: /http\.port/,
  },
  {
    name: "a document of the other partner",
    content: { kind: "template", partner: "rodar", name: "a", parameters: {} },
    args: ["--key", "kilima/templates/a"],
    code: 1,
    output: /document\.partner/,
  },
];

for (const { name, content, args, code, output } of CASES) {
  test(`check on ${name} exits with ${code}`, async (t) => {
    const folder = mkdtempSync(`${tmpdir()}/beechkeel-`);
    writeFileSync(`${folder}/file.json`, JSON.stringify(content));
    const result = await runProgram("check", `${folder}/file.json`, ...args);
    rmSync(folder, { recursive: true });
    t.is(result.code, code);
    t.regex(result.output, output);
  });
}

test("the program prints its version and exits with 3 if a router is unreachable", async (t) => {
  t.regex((await runProgram("--version")).output, /^\d+\.\d+\.\d+/);
  t.is((await runProgram("status", "127.0.0.1:1")).code, 3);
});
