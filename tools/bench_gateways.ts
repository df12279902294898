/** `npm run bench:gateways`: measures the control-plane cost of one gateway in idle fleets of several sizes. */
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { GatewayProcess } from "../soak/gateway_process.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";

/** Number of gateways in each measured fleet. */
const FLEET_SIZES = [7, 15, 31, 55];
/** Upstreams in each fleet. */
const UPSTREAMS = { engines: 6, plain: 3 };
/** Time allowed for start-up and the first reads of the configuration before the measurement, in milliseconds. */
const SETTLE_MS = 6_000;
/** Duration of the measurement, in milliseconds. */
const MEASUREMENT_MS = 10_000;
const MEASUREMENT_SECONDS = MEASUREMENT_MS / 1_000;
/** Clock ticks per second in `/proc/PID/stat` (`USER_HZ` on Linux). */
const TICKS_PER_SECOND = 100;
/** Interval at which gateways are polled for the version that is in force, in milliseconds. */
const POLL_MS = 20;

/** Cumulative traffic and CPU time of one gateway, and its current memory use. */
interface ResourceSample {
  sentBytes: number;
  receivedBytes: number;
  processorSeconds: number;
  memoryMegabytes: number;
}

async function fetchMetrics(gateway: GatewayProcess): Promise<string> {
  const response = await fetch(`http://${gateway.metricsAddress}/metrics`);
  return await response.text();
}

async function sampleResources(
  gateway: GatewayProcess,
): Promise<ResourceSample> {
  const text = await fetchMetrics(gateway);
  const readByteCount = (direction: string) => {
    const pattern = new RegExp(`direction="${direction}"} (\\d+)`);
    return Number(pattern.exec(text)?.[1] ?? 0);
  };
  const { pid } = gateway.program;
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  const memory = readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    sentBytes: readByteCount("sent"),
    receivedBytes: readByteCount("received"),
    processorSeconds: (Number(stat[13]) + Number(stat[14])) / TICKS_PER_SECOND,
    memoryMegabytes: Number(/VmRSS:\s+(\d+)/.exec(memory)?.[1]) / 1_000,
  };
}

/** Publishes a version and returns the milliseconds until it is in force on every gateway. */
async function measurePropagationMs(fleet: SoakFleet): Promise<number> {
  fleet.publishNextVersion();
  const startedAt = performance.now();
  const line = `beechkeel_configuration_version ${fleet.newest.version}\n`;
  const wait = async (gateway: GatewayProcess) => {
    while (!(await fetchMetrics(gateway)).includes(line)) await delay(POLL_MS);
  };
  await Promise.all(fleet.gateways.map(wait));
  return performance.now() - startedAt;
}

/** Computes the mean use per gateway and second between two samples of each gateway. */
function computeMeanUse(
  before: readonly ResourceSample[],
  after: readonly ResourceSample[],
) {
  const mean = (select: (sample: ResourceSample) => number) =>
    sum(
      after.map((reading, index) => select(reading) - select(before[index]!)),
    ) /
    after.length / MEASUREMENT_SECONDS;
  return {
    sentBytesPerSecond: Math.round(mean((sample) => sample.sentBytes)),
    receivedBytesPerSecond: Math.round(mean((sample) => sample.receivedBytes)),
    processorPercent: Number(
      (mean((sample) => sample.processorSeconds) * 100).toFixed(2),
    ),
    memoryMegabytes: Math.round(
      sum(after.map((sample) => sample.memoryMegabytes)) / after.length,
    ),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function benchFleetSize(gateways: number) {
  const fleet = await SoakFleet.create({ seed: 1, gateways, ...UPSTREAMS });
  try {
    await delay(SETTLE_MS);
    const callsBefore = fleet.store.calls;
    const before = await Promise.all(fleet.gateways.map(sampleResources));
    await delay(MEASUREMENT_MS);
    const after = await Promise.all(fleet.gateways.map(sampleResources));
    const calls = fleet.store.calls - callsBefore;
    return {
      gateways,
      ...computeMeanUse(before, after),
      storeCallsPerSecond: Number((calls / MEASUREMENT_SECONDS).toFixed(1)),
      inForceMs: Math.round(await measurePropagationMs(fleet)),
    };
  } finally {
    await fleet.close();
  }
}

for (const size of FLEET_SIZES) console.table([await benchFleetSize(size)]);
