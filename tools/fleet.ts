import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { FakeEngine } from "../fakes/fake_engine.ts";
import type { FakeEngineOptions } from "../fakes/fake_engine_options.ts";
import { FakePlatform } from "../fakes/fake_platform.ts";
import { FaultProxy } from "../fakes/fault_proxy.ts";
import { FakeService, type FakeServiceOptions } from "../fakes/fake_service.ts";
import type { Host } from "../src/configuration_service/host_schema.ts";
import type { RouterStatus } from "../src/router/router_status.ts";
import { getFreePort } from "./free_port.ts";
import { ProxyMesh } from "./proxy_mesh.ts";
import { RouterProcess } from "./router_process.ts";

/** Composition of a small fleet. */
export interface FleetOptions {
  routers: number;
  engines: number;
  services: number;
  engine: Partial<FakeEngineOptions>;
  service: Partial<FakeServiceOptions>;
  /** Additional settings of every router. */
  settings: Record<string, unknown>;
  /** Slots of each engine and service in the host list. */
  slots: number;
  /** Command that starts a router; by default it runs the bundle. */
  command: readonly [string, ...string[]] | undefined;
  /** Whether routers reach the platform, each other and upstreams through fault-injecting proxies. */
  useProxies: boolean;
}

const FLEET_SECRET = "a secret for stand-in fleets";
const HALLS = ["kariakoo", "mikocheni", "temeke"] as const;

const DEFAULTS: FleetOptions = {
  routers: 3,
  engines: 6,
  services: 3,
  engine: {},
  service: {},
  settings: {},
  slots: 64,
  command: undefined,
  useProxies: false,
};

/** A fleet on this machine: routers run as processes; the upstreams and the platform are fakes in this process. */
export class Fleet {
  readonly routers: RouterProcess[] = [];
  readonly engines: FakeEngine[] = [];
  readonly services: FakeService[] = [];
  /** Engines that were stopped; their ledgers are still evaluated. */
  readonly stoppedEngines: FakeEngine[] = [];
  /** State in the host list, by host id; hosts without an entry are `live`. */
  readonly hostStates = new Map<string, Host["state"]>();
  /** Proxies between routers and the platform, by router id; empty unless the fleet uses proxies. */
  readonly platformProxies = new Map<string, FaultProxy>();
  readonly proxyMesh = ProxyMesh.create();
  private readonly removedHostIds = new Set<string>();
  private readonly settingsFolder = mkdtempSync(`${tmpdir()}/beechkeel-`);

  private constructor(
    readonly platform: FakePlatform,
    private readonly options: FleetOptions,
  ) {}

  /** Starts a fleet and waits until every router is serving.
   * @param options Overrides of the default composition. */
  static async create(options: Partial<FleetOptions> = {}): Promise<Fleet> {
    const fleet = new Fleet(await FakePlatform.create(), {
      ...DEFAULTS,
      ...options,
    });
    try {
      await fleet.start();
    } catch (error) {
      await fleet.close();
      throw error;
    }
    return fleet;
  }

  /** Starts a router without publishing it in the host list.
   * @param id Router id. */
  async addRouter(id = `r${this.routers.length + 1}`): Promise<RouterProcess> {
    const settings = await this.buildSettings(id);
    const router = RouterProcess.create(
      settings,
      this.settingsFolder,
      this.options.command,
    );
    this.routers.push(router);
    return router;
  }

  /** Starts an engine without publishing it in the host list.
   * @param options Overrides of the fleet's engine options. */
  async addEngine(
    options: Partial<FakeEngineOptions> = {},
  ): Promise<FakeEngine> {
    const id = `e${this.engines.length + 1}`;
    const engine = await FakeEngine.create({
      id,
      ...this.options.engine,
      ...options,
    });
    this.engines.push(engine);
    return engine;
  }

  /** Publishes the current host list. */
  async publishHosts(): Promise<void> {
    const hosts = this.buildHostList();
    if (this.options.useProxies) {
      await this.proxyMesh.addMissingProxies(
        this.routers.map((router) => router.id),
        hosts,
      );
      this.platform.selectHostsFor = (reader, list) =>
        this.proxyMesh.replaceWithProxyPorts(reader, list);
    }
    this.platform.publishHosts(hosts);
  }

  /** Changes the state of a host in the host list and publishes the list.
   * @param id Host id.
   * @param state New state, or undefined to remove the host from the list. */
  async setHostState(
    id: string,
    state: Host["state"] | undefined,
  ): Promise<void> {
    if (state) this.hostStates.set(id, state);
    else this.removedHostIds.add(id);
    await this.publishHosts();
  }

  /** Waits until every router is serving and has synchronized with the others. */
  async waitUntilServing(): Promise<void> {
    await Promise.all(
      this.routers.map((router) =>
        router.waitFor(isServingAndSynchronized, "serving")
      ),
    );
  }

  /** Returns the router with the given id; throws if there is none.
   * @param id Router id. */
  getRouterOrThrow(id: string): RouterProcess {
    const router = this.routers.find((candidate) => candidate.id === id);
    if (!router) throw new Error(`no router ${id}`);
    return router;
  }

  /** Returns for each engine its number of requests in flight at each change, including its stopped instances. */
  getEngineLoadHistories(): [number, number][][] {
    return this.engines.map((engine) => {
      const earlier = this.stoppedEngines.filter((other) =>
        other.options.id === engine.options.id
      );
      return [...earlier, engine].flatMap((instance) => instance.ledger.loads);
    });
  }

  /** Stops all routers, fakes and proxies, and deletes the settings files. */
  async close(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kill()));
    await Promise.all(
      [...this.engines, ...this.services].map((fake) => fake.close()),
    );
    await this.platform.close();
    this.proxyMesh.close();
    for (const proxy of this.platformProxies.values()) proxy.close();
    rmSync(this.settingsFolder, { recursive: true, force: true });
  }

  private async start(): Promise<void> {
    await this.startUpstreams();
    for (let index = 0; index < this.options.routers; index++) {
      await this.addRouter();
    }
    await this.publishHosts();
    this.publishCustomers();
    await this.waitUntilServing();
  }

  private async startUpstreams(): Promise<void> {
    for (let index = 0; index < this.options.engines; index++) {
      await this.addEngine();
    }
    for (let index = 0; index < this.options.services; index++) {
      this.services.push(
        await FakeService.create({
          id: `s${index + 1}`,
          ...this.options.service,
        }),
      );
    }
  }

  private async buildSettings(id: string) {
    return {
      id,
      partner: "kilima",
      region: "dar",
      hall: getHall(this.routers.length),
      http: { port: await getFreePort() },
      peer: { port: await getFreePort() },
      platform: { url: await this.getPlatformUrl(id) },
      fleetSecret: FLEET_SECRET,
      ...this.options.settings,
    };
  }

  private async getPlatformUrl(id: string): Promise<string> {
    if (!this.options.useProxies) return this.platform.url;
    const proxy = await FaultProxy.create(this.platform.port);
    this.platformProxies.set(id, proxy);
    return `http://127.0.0.1:${proxy.port}`;
  }

  private buildHostList(): Host[] {
    const shared = {
      partner: "kilima",
      region: "dar",
      address: "127.0.0.1",
      models: [],
      checksFence: false,
    };
    const routers = this.routers.map((router, index) => ({
      ...this.buildCommonFields(router.id, index, "router"),
      ...shared,
      port: router.httpPort,
      peerPort: router.peerPort,
      slots: 1,
    }));
    const engines = this.engines.map((engine, index) => ({
      ...this.buildCommonFields(engine.options.id, index, "engine"),
      ...shared,
      port: engine.port,
      models: engine.options.models,
      slots: this.options.slots,
      checksFence: engine.options.checksFence,
      softwareVersion: engine.options.softwareVersion,
    }));
    const services = this.services.map((service, index) => ({
      ...this.buildCommonFields(service.options.id, index, "service"),
      ...shared,
      port: service.port,
      service: "bookings",
      slots: this.options.slots,
    }));
    return [...routers, ...engines, ...services].filter((host) =>
      !this.removedHostIds.has(host.id)
    );
  }

  private buildCommonFields(id: string, index: number, role: Host["role"]) {
    return {
      id,
      role,
      state: this.hostStates.get(id) ?? "live" as const,
      hall: getHall(index),
    };
  }

  private publishCustomers(): void {
    const publish = (
      partner: string,
      folder: string,
      name: string,
      value: object,
    ) =>
      this.platform.publish(`${partner}/${folder}/${name}`, {
        partner,
        name,
        ...value,
      });
    for (const partner of ["kilima", "rodar"]) {
      const parameters = {
        models: ["m1"],
        services: ["bookings"],
        priority: 5,
        capacityShare: 0.3,
      };
      publish(partner, "templates", "standard", {
        kind: "template",
        parameters,
      });
    }
    publish("kilima", "customers", "rosters", {
      kind: "customer",
      template: "standard",
    });
    publish("kilima", "customers", "clinics", {
      kind: "customer",
      template: "standard",
      parameters: { priority: 7, capacityShare: 0.2 },
    });
    publish("rodar", "customers", "dispatch", {
      kind: "customer",
      template: "standard",
    });
  }
}

function getHall(index: number): string {
  return HALLS[index % HALLS.length] ?? HALLS[0];
}

/** Whether a router is serving, has the configuration and has synchronized with the others. */
function isServingAndSynchronized(status: RouterStatus): boolean {
  const hasConfiguration = status.configuration.customers >= 3;
  return status.phase === "serving" && hasConfiguration &&
    status.witness.synchronized;
}
