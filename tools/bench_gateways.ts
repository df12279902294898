/** `npm run bench:gateways`: what control costs one gateway of an idle fleet, against the size of the fleet. */
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { GatewayProcess } from "../soak/gateway_process.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";

/** Gateways of each fleet that is measured. */
const FLEET_SIZES = [7, 15, 31, 55];
/** Upstreams of each fleet. */
const UPSTREAMS = { engines: 6, plain: 3 };
/** Time until first reads and starts are over, in milliseconds. */
const SETTLE_MS = 6_000;
/** Time that is measured, in milliseconds. */
const RUN_MS = 10_000;
const RUN_SECONDS = RUN_MS / 1_000;
/** Ticks of the processor's clock in a second, as Linux counts them for every process. */
const TICKS_PER_SECOND = 100;
/** Interval at which it is looked whether a version is in force, in milliseconds. */
const POLL_MS = 20;

/** What one gateway has used so far. */
interface Reading {
  sentBytes: number;
  receivedBytes: number;
  processorSeconds: number;
  memoryMegabytes: number;
}

async function readText(gateway: GatewayProcess): Promise<string> {
  const response = await fetch(`http://${gateway.metricsAddress}/metrics`);
  return await response.text();
}

async function read(gateway: GatewayProcess): Promise<Reading> {
  const text = await readText(gateway);
  const count = (direction: string) => {
    const pattern = new RegExp(`direction="${direction}"} (\\d+)`);
    return Number(pattern.exec(text)?.[1] ?? 0);
  };
  const { pid } = gateway.program;
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  const memory = readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    sentBytes: count("sent"),
    receivedBytes: count("received"),
    processorSeconds: (Number(stat[13]) + Number(stat[14])) / TICKS_PER_SECOND,
    memoryMegabytes: Number(/VmRSS:\s+(\d+)/.exec(memory)?.[1]) / 1_000,
  };
}

/** Publishes a version and waits until it is in force on every gateway; returns the milliseconds that took. */
async function measureInForce(fleet: SoakFleet): Promise<number> {
  fleet.publishNextVersion();
  const startedAt = performance.now();
  const line = `beechkeel_configuration_version ${fleet.newest.version}\n`;
  const wait = async (gateway: GatewayProcess) => {
    while (!(await readText(gateway)).includes(line)) await delay(POLL_MS);
  };
  await Promise.all(fleet.gateways.map(wait));
  return performance.now() - startedAt;
}

/** What gateways used in the time between two readings of each, as a mean for one in a second. */
function describeUse(before: readonly Reading[], after: readonly Reading[]) {
  const mean = (pick: (reading: Reading) => number) =>
    sum(after.map((reading, index) => pick(reading) - pick(before[index]!))) /
    after.length / RUN_SECONDS;
  return {
    sentBytesPerSecond: Math.round(mean((one) => one.sentBytes)),
    receivedBytesPerSecond: Math.round(mean((one) => one.receivedBytes)),
    processorPercent: Number(
      (mean((one) => one.processorSeconds) * 100).toFixed(2),
    ),
    memoryMegabytes: Math.round(
      sum(after.map((one) => one.memoryMegabytes)) / after.length,
    ),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function runSize(gateways: number) {
  const fleet = await SoakFleet.create({ seed: 1, gateways, ...UPSTREAMS });
  try {
    await delay(SETTLE_MS);
    const callsBefore = fleet.store.calls;
    const before = await Promise.all(fleet.gateways.map(read));
    await delay(RUN_MS);
    const after = await Promise.all(fleet.gateways.map(read));
    const calls = fleet.store.calls - callsBefore;
    return {
      gateways,
      ...describeUse(before, after),
      storeCallsPerSecond: Number((calls / RUN_SECONDS).toFixed(1)),
      inForceMs: Math.round(await measureInForce(fleet)),
    };
  } finally {
    await fleet.close();
  }
}

for (const size of FLEET_SIZES) console.table([await runSize(size)]);
