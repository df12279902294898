import { createSocket } from "node:dgram";
import type { PartitionKind } from "../fakes/network_partition.ts";
import { splitAddress } from "../src/addresses/split_address.ts";

/** Environment variable with the address at which a gateway of the soak receives changes of its paths, as ip:port. */
export const PARTITION_ADDRESS_VARIABLE = "BEECHKEEL_SOAK_PARTITION";

/** Has a gateway of the soak lose all its paths to upstreams, or restores them.
 * @param address Address at which the gateway receives this, as ip:port.
 * @param kind How connections are treated; undefined if the paths are restored. */
export async function setPartition(
  address: string,
  kind: PartitionKind | undefined,
): Promise<void> {
  const { host, port } = splitAddress(address);
  const socket = createSocket("udp4");
  await new Promise<void>((resolve) =>
    socket.send(kind ?? "none", port, host, () => resolve())
  );
  socket.close();
}
