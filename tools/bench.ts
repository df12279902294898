import { mkdirSync, writeFileSync } from "node:fs";
import { benchControl } from "./bench_control.ts";
import { benchPath } from "./bench_path.ts";
import { benchPolicies } from "./bench_policies.ts";

const REPORT = "reports/bench.json";

/** Shows a number with at most three digits behind the point. */
function round(value: unknown): unknown {
  return typeof value === "number" ? Number(value.toFixed(3)) : value;
}

function toTable(rows: readonly object[]): void {
  console.table(
    rows.map((row) =>
      Object.fromEntries(
        Object.entries(row).map(([name, value]) => [name, round(value)]),
      )
    ),
  );
}

const path = await benchPath();
console.log(
  "The way through the routers (microseconds; events per second of processor time):",
);
toTable([path]);
const control = await benchControl();
console.log("Control of one router without load:");
toTable(control);
const policies = await benchPolicies();
console.log("Policies side by side, same seed:");
toTable(policies);
mkdirSync("reports", { recursive: true });
writeFileSync(REPORT, JSON.stringify({ path, control, policies }, null, 2));
console.log(`written to ${REPORT}`);
