import { waitUntil } from "../system/with_fleet.ts";
import { call, locate } from "./call.ts";
import type { TestGateway } from "./with_gateways.ts";

/** Waits until a request gets a status. */
export async function waitForStatus(
  to: TestGateway,
  key: string,
  status: number,
): Promise<void> {
  await waitUntil(
    `status ${status}`,
    async () => (await call(to, key)).status === status,
  );
}

/** Waits until a gateway has its first configuration, for it names itself only then. */
export async function waitUntilServing(gateway: TestGateway): Promise<void> {
  await waitUntil(
    "the gateway serves",
    async () =>
      (await locate(gateway)).includes(gateway.settings.callerAddress),
  );
}
