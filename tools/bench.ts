import { mkdirSync, writeFileSync } from "node:fs";
import { benchControl } from "./bench_control.ts";
import { benchRoutingOverhead } from "./bench_routing_overhead.ts";
import { benchPolicies } from "./bench_policies.ts";

const REPORT_PATH = "reports/bench.json";

/** Rounds numbers to three decimal places; returns other values unchanged. */
function roundNumber(value: unknown): unknown {
  return typeof value === "number" ? Number(value.toFixed(3)) : value;
}

function printTable(rows: readonly object[]): void {
  console.table(
    rows.map((row) =>
      Object.fromEntries(
        Object.entries(row).map(([name, value]) => [name, roundNumber(value)]),
      )
    ),
  );
}

const overhead = await benchRoutingOverhead();
console.log(
  "Routing overhead (latency in microseconds; events per second of CPU time):",
);
printTable([overhead]);
const control = await benchControl();
console.log("Control-plane cost of one idle router:");
printTable(control);
const policies = await benchPolicies();
console.log("Placement policies under the same seed:");
printTable(policies);
mkdirSync("reports", { recursive: true });
writeFileSync(
  REPORT_PATH,
  JSON.stringify({ path: overhead, control, policies }, null, 2),
);
console.log(`written to ${REPORT_PATH}`);
