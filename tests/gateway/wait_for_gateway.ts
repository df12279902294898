import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import type { TestGateway } from "./with_gateways.ts";

/** Waits until a gateway responds to requests with a status. */
export async function waitForStatus(
  gateway: TestGateway,
  key: string,
  status: number,
): Promise<void> {
  await waitUntil(
    `status ${status}`,
    async () => (await call(gateway, key)).status === status,
  );
}

/** Waits until a gateway has its first configuration; before, it does not include itself in address lists. */
export async function waitUntilServing(gateway: TestGateway): Promise<void> {
  await waitUntil(
    "the gateway serves",
    async () =>
      (await locate(gateway)).includes(gateway.settings.callerAddress),
  );
}
