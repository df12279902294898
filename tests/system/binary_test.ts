import { copyFileSync, mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test from "ava";
import { BINARY_PATH } from "../../tools/bundle_path.ts";
import { withFleet } from "./with_fleet.ts";

test.serial("the single executable serves chats and bookings without installed packages", async (t) => {
  const folder = mkdtempSync(`${tmpdir()}/beechkeel-`);
  const program = `${folder}/beechkeel`;
  copyFileSync(BINARY_PATH, program);
  try {
    await withFleet({ command: [program] }, async (fleet, caller) => {
      const router = fleet.routers[0]!.address;
      t.true(
        (await caller.chat({ customer: "kilima/rosters", router }, "c1", [
          "hello",
        ])).isComplete,
      );
      t.true(
        (await caller.book(
          { customer: "rodar/dispatch", router },
          "shift 1",
          "key-1",
        )).isComplete,
      );
    });
  } finally {
    rmSync(folder, { recursive: true });
  }
});
