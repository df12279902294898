import { setTimeout as delay } from "node:timers/promises";
import { Caller } from "../../tools/caller.ts";
import { Fleet, type FleetOptions } from "../../tools/fleet.ts";

const POLL_INTERVAL_MS = 10;
const WAIT_TIMEOUT_MS = 30_000;

/** Runs a test body with a new fleet and a caller, and closes both afterwards.
 * @param options Options of the fleet.
 * @param body Test body. */
export async function withFleet(
  options: Partial<FleetOptions>,
  body: (fleet: Fleet, caller: Caller) => Promise<void>,
): Promise<void> {
  const fleet = await Fleet.create(options);
  const caller = Caller.create();
  try {
    await body(fleet, caller);
  } finally {
    await caller.close();
    await fleet.close();
  }
}

/** Polls a condition until it holds; throws if it does not hold within the timeout.
 * @param description Description of the condition for the error message.
 * @param condition The condition. */
export async function waitUntil(
  description: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await delay(POLL_INTERVAL_MS);
  }
  throw new Error(`timed out waiting for: ${description}`);
}
