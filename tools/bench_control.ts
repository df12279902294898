import { setTimeout as delay } from "node:timers/promises";
import type { RouterStatus } from "../src/router/router_status.ts";
import { Fleet } from "./fleet.ts";

const SETTLE_MS = 4_000;
const MEASUREMENT_MS = 6_000;
const FLEET_SIZES = [3, 7, 15, 31];
const ENGINES_PER_ROUTER = 3;

/** Mean control-plane cost of one router in an idle fleet. */
export interface ControlRow {
  routers: number;
  engines: number;
  bytesPerSecond: number;
  messagesPerSecond: number;
  /** CPU use of one core, in percent. */
  processorPercent: number;
  memoryMegabytes: number;
  /** Time until a published document was in force on every router, in milliseconds. */
  inForceMs: number;
}

/** Measures control traffic and resource use for several fleet sizes. */
export async function benchControl(): Promise<ControlRow[]> {
  const rows: ControlRow[] = [];
  for (const routers of FLEET_SIZES) rows.push(await benchFleetSize(routers));
  return rows;
}

async function benchFleetSize(routers: number): Promise<ControlRow> {
  const engines = routers * ENGINES_PER_ROUTER;
  const fleet = await Fleet.create({ routers, engines, services: 0 });
  try {
    await delay(SETTLE_MS);
    const before = await readStatuses(fleet);
    await delay(MEASUREMENT_MS);
    const after = await readStatuses(fleet);
    const mean = (select: (status: RouterStatus) => number) => {
      const sum = after.reduce(
        (total, status, index) =>
          total + select(status) - select(before[index]!),
        0,
      );
      const seconds = after[0]!.process.uptimeSeconds -
        before[0]!.process.uptimeSeconds;
      return sum / routers / seconds;
    };
    return {
      routers,
      engines,
      bytesPerSecond: mean((status) =>
        status.control.probeBytes + status.control.bytes
      ),
      messagesPerSecond: mean((status) =>
        status.control.probeMessages + status.control.frames
      ),
      processorPercent: mean((status) => status.process.cpuMicroseconds) /
        10_000,
      memoryMegabytes: after.reduce((sum, status) =>
        sum + status.process.memoryBytes, 0) / routers / 1e6,
      inForceMs: await measurePropagationMs(fleet),
    };
  } finally {
    await fleet.close();
  }
}

async function readStatuses(fleet: Fleet): Promise<RouterStatus[]> {
  const statuses = await Promise.all(
    fleet.routers.map((router) => router.getStatus()),
  );
  return statuses.filter((status) => status !== undefined);
}

/** Publishes a document and returns the milliseconds until it is in force on every router. */
async function measurePropagationMs(fleet: Fleet): Promise<number> {
  const value = {
    kind: "customer",
    partner: "kilima",
    name: "clinics",
    template: "standard",
  };
  const startedAt = performance.now();
  const revision = fleet.platform.publish("kilima/customers/clinics", value);
  await Promise.all(
    fleet.routers.map((router) =>
      router.waitFor(
        (status) => status.configuration.revision >= revision,
        "the published document to be in force",
      )
    ),
  );
  return performance.now() - startedAt;
}
