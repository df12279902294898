import test from "ava";
import { spawnSync } from "node:child_process";
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import process from "node:process";
import { buildLauncher } from "../tools/build_launcher.ts";

const PROGRAM =
  `function answer() { return "started"; } console.log(answer());`;

async function createProgramFolder(): Promise<string> {
  const folder = mkdtempSync(`${tmpdir()}/beechkeel-launcher-`);
  await buildLauncher(`${folder}/beechkeel.cjs`, ["node:http"]);
  writeFileSync(`${folder}/program.cjs`, PROGRAM);
  return folder;
}

/** Runs the program; returns its standard output followed by its standard error. */
function runLauncher(folder: string, env: NodeJS.ProcessEnv = {}): string {
  const { stdout, stderr } = spawnSync(
    process.execPath,
    [`${folder}/beechkeel.cjs`],
    { encoding: "utf8", env: { ...process.env, ...env } },
  );
  return stdout + stderr;
}

function recordCodeCache(folder: string): void {
  runLauncher(folder, { BEECHKEEL_RECORD_CODE_CACHE: "1" });
}

test("a recording run writes a code cache that a later start accepts", async (t) => {
  const folder = await createProgramFolder();
  try {
    recordCodeCache(folder);
    t.true(statSync(`${folder}/program.cjs.cache`).size > 0);
    t.is(runLauncher(folder), "started\n");
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test("the program starts without a code cache and writes none", async (t) => {
  const folder = await createProgramFolder();
  try {
    t.is(runLauncher(folder), "started\n");
    t.throws(() => statSync(`${folder}/program.cjs.cache`));
  } finally {
    rmSync(folder, { recursive: true });
  }
});

for (
  const [name, corrupt] of [
    ["truncated", (cache: Buffer) => cache.subarray(0, cache.length / 2)],
    ["foreign", () => Buffer.from("not a code cache")],
    ["empty", () => Buffer.alloc(0)],
  ] as const
) {
  test(`the program starts from source if the code cache is ${name}`, async (t) => {
    const folder = await createProgramFolder();
    try {
      recordCodeCache(folder);
      const path = `${folder}/program.cjs.cache`;
      writeFileSync(path, corrupt(readFileSync(path)));
      const output = runLauncher(folder);
      t.true(output.startsWith("started\n"));
      t.regex(output, /event=code_cache_refused/);
    } finally {
      rmSync(folder, { recursive: true });
    }
  });
}
