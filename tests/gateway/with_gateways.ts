import { pino } from "pino";
import { FakeStore } from "../../fakes/fake_store.ts";
import { FakeWorker } from "../../fakes/fake_worker.ts";
import { buildWorkerEntry } from "../../fakes/worker_entry.ts";
import { platformDiscoveryProtocol } from "../../platform/discovery_protocol.ts";
import { EngineClient } from "../../platform/engine_client.ts";
import { InstanceClient } from "../../platform/instance_client.ts";
import { platformHeaderCodec } from "../../platform/header_codec.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { Gateway } from "../../src/gateway/gateway.ts";
import type { GatewaySettings } from "../../src/gateway/gateway_settings.ts";
import type { Dial } from "../../src/network/dial_tcp.ts";
import { getFreePort } from "../../tools/free_port.ts";

/** Time after which revoked keys are no longer accepted in these tests; several times the wait of a long poll. */
const KEY_REVOCATION_LIMIT_MS = 5_000;

/** Number of requests that a worker of these tests runs at once. */
export const SLOTS = 8;

/** A gateway of a test with its settings. */
export interface TestGateway {
  gateway: Gateway;
  settings: GatewaySettings;
}

/** The store, the workers and the gateways of a test. */
export class GatewayFleet {
  readonly gateways: TestGateway[] = [];
  readonly workers: FakeWorker[] = [];

  private constructor(
    /** The store that gateways read unless they are started with another. */
    readonly store: FakeStore,
  ) {}

  /** Starts a store without gateways. */
  static async create(): Promise<GatewayFleet> {
    return new GatewayFleet(await FakeStore.create());
  }

  /** Starts a gateway.
   * @param changes Settings that differ from the defaults.
   * @param dial Establishes the gateway's connections to workers; TCP by default. */
  async startGateway(
    changes: Partial<GatewaySettings> = {},
    dial?: Dial,
  ): Promise<TestGateway> {
    const settings = { ...await this.buildSettings(), ...changes };
    const gateway = await Gateway.start(settings, {
      logger: pino({ level: "silent" }),
      feed: StoreClient.create(settings.platformAddress),
      inventory: EngineClient.create(),
      instances: InstanceClient.create(),
      codec: platformHeaderCodec,
      discoveryProtocol: platformDiscoveryProtocol,
      dial,
    });
    const started = { gateway, settings };
    this.gateways.push(started);
    return started;
  }

  /** Starts a worker and publishes it.
   * @param service Service of the worker.
   * @param zone Hall of the worker.
   * @param slots Number of requests that it runs at once.
   * @param version Its software version. */
  async startWorker(
    service: string,
    zone = "h",
    slots = SLOTS,
    version = "v1",
  ): Promise<FakeWorker> {
    const worker = await FakeWorker.create(`w-${this.workers.length}`);
    worker.version = version;
    this.workers.push(worker);
    this.publishWorker(worker, service, "ready", zone, slots);
    return worker;
  }

  /** Starts several workers of a service and publishes them.
   * @param service Service of the workers.
   * @param count Number of workers.
   * @param version Their software version. */
  async startWorkers(
    service: string,
    count: number,
    version = "v1",
  ): Promise<FakeWorker[]> {
    const workers: FakeWorker[] = [];
    for (let index = 0; index < count; index++) {
      workers.push(await this.startWorker(service, "h", SLOTS, version));
    }
    return workers;
  }

  /** Publishes a worker's state.
   * @param worker The worker.
   * @param service Service of the worker.
   * @param state `ready` or `draining`.
   * @param zone Hall of the worker.
   * @param slots Number of requests that it runs at once. */
  publishWorker(
    worker: FakeWorker,
    service: string,
    state: "ready" | "draining",
    zone = "h",
    slots = SLOTS,
  ): void {
    const { address, id, startedAt, version } = worker;
    const entry = { service, address, state, slots, startedAt, zone, version };
    this.store.put(`servers/${id}`, buildWorkerEntry(entry));
  }

  /** Publishes a configuration with a single route, from `/a/` to service `s`.
   * @param version Version of the configuration.
   * @param keys Keys of its only customer.
   * @param changes Fields of the route that differ from the defaults.
   * @param limits Limits on what callers send; the defaults if it is undefined. */
  publishConfiguration(
    version: number,
    keys: readonly string[],
    changes: Record<string, unknown> = {},
    limits?: Record<string, number>,
  ): void {
    this.store.put("op/config", {
      version,
      limits,
      routes: [{
        name: "r",
        host: "a.example",
        path_prefix: "/a/",
        route_kind: "idempotent",
        timeout_ms: 5_000,
        slo_ms: 500,
        service: "s",
        max_attempts: 2,
        ...changes,
      }],
      services: [{ name: "s", max_conns: 100, health_path: "/healthz" }],
      tenants: [{ name: "c", api_keys: keys }],
    });
  }

  /** Closes the gateways, the workers and the store. */
  async close(): Promise<void> {
    for (const { gateway } of this.gateways) await gateway.close();
    for (const worker of this.workers) await worker.close();
    await this.store.close();
  }

  private async buildSettings(): Promise<GatewaySettings> {
    const ports = await Promise.all(
      Array.from({ length: 6 }, () => getFreePort()),
    );
    const [caller, readiness, locate, peer, gossip, metrics] = ports.map((
      port,
    ) => `127.0.0.1:${port}`) as [
      string,
      string,
      string,
      string,
      string,
      string,
    ];
    return {
      id: `g-${this.gateways.length}`,
      hall: "h",
      callerAddress: caller,
      readinessAddress: readiness,
      locateAddress: locate,
      peerAddress: peer,
      gossipAddress: gossip,
      metricsAddress: metrics,
      seedAddresses: this.gateways.slice(0, 1).map((first) =>
        first.settings.gossipAddress
      ),
      platformAddress: `127.0.0.1:${this.store.port}`,
      isFirstStart: true,
      leaveWithinMs: 2_000,
      configurationWithinMs: 2_000,
      stopTimeoutMs: 8_000,
      keyRevocationLimitMs: KEY_REVOCATION_LIMIT_MS,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retryExtra: 50,
      boundMultiple: 2,
      maxLocateTtlMs: 5_000,
    };
  }
}

/** Runs a test body with its own fleet, and closes the fleet afterwards.
 * @param body The test body. */
export async function withGateways(
  body: (fleet: GatewayFleet) => Promise<void>,
): Promise<void> {
  const fleet = await GatewayFleet.create();
  try {
    await body(fleet);
  } finally {
    await fleet.close();
  }
}
