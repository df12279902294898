/** `npm run bench:gateways`: what control costs one gateway of an idle fleet, against the size of the fleet. */
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { GatewayProcess } from "../soak/gateway_process.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";

const FLEET_SIZES = [7, 15, 31, 55];
/** Time until first reads and starts are over, and time that is measured, in milliseconds. */
const SETTLE_MS = 6_000;
const RUN_MS = 10_000;
/** Ticks of the processor's clock in a second, as Linux counts them for every process. */
const TICKS_PER_SECOND = 100;
const POLL_MS = 20;

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
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    sentBytes: count("sent"),
    receivedBytes: count("received"),
    processorSeconds: (Number(stat[13]) + Number(stat[14])) / TICKS_PER_SECOND,
    memoryMegabytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1_000,
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

async function runSize(gateways: number) {
  const fleet = await SoakFleet.create({
    seed: 1,
    gateways,
    engines: 6,
    plain: 3,
  });
  try {
    await delay(SETTLE_MS);
    const callsBefore = fleet.store.calls;
    const before = await Promise.all(fleet.gateways.map(read));
    await delay(RUN_MS);
    const after = await Promise.all(fleet.gateways.map(read));
    const callsAfter = fleet.store.calls;
    const seconds = RUN_MS / 1_000;
    const mean = (pick: (reading: Reading) => number) =>
      after.reduce(
        (sum, reading, index) => sum + pick(reading) - pick(before[index]!),
        0,
      ) / gateways / seconds;
    return {
      gateways,
      sentBytesPerSecond: Math.round(mean((one) => one.sentBytes)),
      receivedBytesPerSecond: Math.round(mean((one) => one.receivedBytes)),
      processorPercent: Number(
        (mean((one) => one.processorSeconds) * 100).toFixed(2),
      ),
      memoryMegabytes: Math.round(
        after.reduce((sum, one) => sum + one.memoryMegabytes, 0) / gateways,
      ),
      storeCallsPerSecond: Number(
        ((callsAfter - callsBefore) / seconds).toFixed(1),
      ),
      inForceMs: Math.round(await measureInForce(fleet)),
    };
  } finally {
    await fleet.close();
  }
}

for (const size of FLEET_SIZES) console.table([await runSize(size)]);
