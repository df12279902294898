import {
  respondSuccessfully,
  type WorkerBehaviour,
} from "../../fakes/fake_worker.ts";
import { NetworkPartition } from "../../fakes/network_partition.ts";
import { dialTcp } from "../../src/network/dial_tcp.ts";
import { waitUntil } from "../system/with_fleet.ts";
import { locate } from "./call.ts";
import { GatewayFleet, type TestGateway } from "./with_gateways.ts";

/** Key of the only customer. */
export const KEY = "key-1";

/** Sizes of a {@link PartitionedFleet}. */
export interface PartitionedFleetOptions {
  gateways: number;
  workers: number;
  /** Fields of the route that differ from the defaults. */
  route?: Record<string, unknown>;
  /** How the workers respond; by default they succeed and often close the connection. */
  behaviour?: WorkerBehaviour;
}

/** Gateways of which each has paths of its own to the workers, which it can lose. */
export class PartitionedFleet {
  private constructor(
    readonly fleet: GatewayFleet,
    readonly gateways: readonly TestGateway[],
    /** The paths of each gateway to the workers. */
    readonly partitions: readonly NetworkPartition[],
  ) {}

  /** Starts the workers and the gateways, and waits until each gateway lists all.
   * @param options Sizes. */
  static async create(
    options: PartitionedFleetOptions,
  ): Promise<PartitionedFleet> {
    const fleet = await GatewayFleet.create();
    const workers = await fleet.startWorkers("s", options.workers);
    for (const worker of workers) {
      worker.behaviour = options.behaviour ?? respondAndOftenClose;
    }
    fleet.publishConfiguration(1, [KEY], options.route);
    const addresses = workers.map(({ address }) => address);
    const gateways: TestGateway[] = [];
    const partitions: NetworkPartition[] = [];
    for (let index = 0; index < options.gateways; index++) {
      const partition = await NetworkPartition.create(addresses);
      const dial = (address: string) =>
        dialTcp(partition.getPathAddress(address));
      gateways.push(await fleet.startGateway({}, dial));
      partitions.push(partition);
    }
    for (const gateway of gateways) {
      await waitUntil(
        "all gateways are listed",
        async () => (await locate(gateway)).length === gateways.length,
      );
    }
    return new PartitionedFleet(fleet, gateways, partitions);
  }

  /** Closes the gateways, the workers and the paths. */
  async close(): Promise<void> {
    await this.fleet.close();
    for (const partition of this.partitions) await partition.close();
  }
}

/** Responds successfully and closes the connection after every third response, so that hosts need new connections. */
const respondAndOftenClose: WorkerBehaviour = (request, response, worker) => {
  const isClosing = worker.arrivals.length % 3 === 0;
  if (isClosing) response.setHeader("connection", "close");
  respondSuccessfully(request, response, worker);
};

/** Runs a test body with its own fleet, and closes the fleet afterwards.
 * @param options Sizes of the fleet.
 * @param body The test body. */
export async function withPartitionedFleet(
  options: PartitionedFleetOptions,
  body: (fleet: PartitionedFleet) => Promise<void>,
): Promise<void> {
  const fleet = await PartitionedFleet.create(options);
  try {
    await body(fleet);
  } finally {
    await fleet.close();
  }
}
