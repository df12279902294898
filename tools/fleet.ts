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

/** What a small fleet is made of. */
export interface FleetOptions {
  routers: number;
  engines: number;
  services: number;
  engine: Partial<FakeEngineOptions>;
  service: Partial<FakeServiceOptions>;
  /** Settings of every router beyond the needed ones. */
  settings: Record<string, unknown>;
  /** Slots of each engine, as the platform lists them. */
  slots: number;
  /** The program that routers run; the bundle by default. */
  command: readonly [string, ...string[]] | undefined;
  /** Whether routers reach each other and upstreams through proxies. */
  proxied: boolean;
}

const SECRET = "a secret for stand-in fleets";
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
  proxied: false,
};

/** A fleet on this machine: routers as processes, upstreams and platform as stand-ins in this process. */
export class Fleet {
  readonly routers: RouterProcess[] = [];
  readonly engines: FakeEngine[] = [];
  readonly services: FakeService[] = [];
  /** Engines that ended; their ledgers still count. */
  readonly retired: FakeEngine[] = [];
  /** State in the list of hosts, by id; `live` where nothing is said. */
  readonly states = new Map<string, Host["state"]>();
  /** Between each router and the platform, where the fleet is proxied. */
  readonly platformLinks = new Map<string, FaultProxy>();
  readonly mesh = ProxyMesh.create();
  private readonly removed = new Set<string>();
  private readonly folder = mkdtempSync(`${tmpdir()}/beechkeel-`);

  private constructor(
    readonly platform: FakePlatform,
    private readonly options: FleetOptions,
  ) {}

  /** Starts a fleet and waits until every router serves.
   * @param options What it is made of, where it differs from the defaults. */
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

  /** Adds a router without listing it.
   * @param id Its id. */
  async addRouter(id = `r${this.routers.length + 1}`): Promise<RouterProcess> {
    const settings = await this.buildSettings(id);
    const router = RouterProcess.create(
      settings,
      this.folder,
      this.options.command,
    );
    this.routers.push(router);
    return router;
  }

  /** Adds an engine without listing it.
   * @param options How it behaves beyond the fleet's own options. */
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

  /** Publishes the list of hosts as it is now. */
  async publishHosts(): Promise<void> {
    const hosts = this.listHosts();
    if (this.options.proxied) {
      await this.mesh.extend(this.routers.map((router) => router.id), hosts);
      this.platform.viewFor = (reader, list) => this.mesh.getView(reader, list);
    }
    this.platform.publishHosts(hosts);
  }

  /** Changes the listed state of a host and publishes the list.
   * @param id The host.
   * @param state Its new state, or nothing to take it off the list. */
  async setState(id: string, state: Host["state"] | undefined): Promise<void> {
    if (state) this.states.set(id, state);
    else this.removed.add(id);
    await this.publishHosts();
  }

  /** Waits until every router serves and hears the others. */
  async waitUntilServing(): Promise<void> {
    await Promise.all(
      this.routers.map((router) => router.waitFor(isReady, "serving")),
    );
  }

  /** Returns a router, or throws.
   * @param id Its id. */
  getRouterOrThrow(id: string): RouterProcess {
    const router = this.routers.find((candidate) => candidate.id === id);
    if (!router) throw new Error(`no router ${id}`);
    return router;
  }

  /** For each engine its requests in flight at each change, over all processes it was. */
  getEngineLoads(): [number, number][][] {
    return this.engines.map((engine) => {
      const earlier = this.retired.filter((other) =>
        other.options.id === engine.options.id
      );
      return [...earlier, engine].flatMap((one) => one.ledger.loads);
    });
  }

  /** Ends everything. */
  async close(): Promise<void> {
    await Promise.all(this.routers.map((router) => router.kill()));
    await Promise.all(
      [...this.engines, ...this.services].map((fake) => fake.close()),
    );
    await this.platform.close();
    this.mesh.close();
    for (const proxy of this.platformLinks.values()) proxy.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async start(): Promise<void> {
    await this.addUpstreams();
    for (let index = 0; index < this.options.routers; index++) {
      await this.addRouter();
    }
    await this.publishHosts();
    this.publishCustomers();
    await this.waitUntilServing();
  }

  private async addUpstreams(): Promise<void> {
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
      hall: hallOf(this.routers.length),
      http: { port: await getFreePort() },
      peer: { port: await getFreePort() },
      platform: { url: await this.getPlatformUrl(id) },
      fleetSecret: SECRET,
      ...this.options.settings,
    };
  }

  private async getPlatformUrl(id: string): Promise<string> {
    if (!this.options.proxied) return this.platform.url;
    const proxy = await FaultProxy.create(this.platform.port);
    this.platformLinks.set(id, proxy);
    return `http://127.0.0.1:${proxy.port}`;
  }

  private listHosts(): Host[] {
    const shared = {
      partner: "kilima",
      region: "dar",
      address: "127.0.0.1",
      models: [],
      checksFence: false,
    };
    const routers = this.routers.map((router, index) => ({
      ...this.describe(router.id, index, "router"),
      ...shared,
      port: router.httpPort,
      peerPort: router.peerPort,
      slots: 1,
    }));
    const engines = this.engines.map((engine, index) => ({
      ...this.describe(engine.options.id, index, "engine"),
      ...shared,
      port: engine.port,
      models: engine.options.models,
      slots: this.options.slots,
      checksFence: engine.options.checksFence,
    }));
    const services = this.services.map((service, index) => ({
      ...this.describe(service.options.id, index, "service"),
      ...shared,
      port: service.port,
      service: "bookings",
      slots: this.options.slots,
    }));
    return [...routers, ...engines, ...services].filter((host) =>
      !this.removed.has(host.id)
    );
  }

  private describe(id: string, index: number, role: Host["role"]) {
    return {
      id,
      role,
      state: this.states.get(id) ?? "live" as const,
      hall: hallOf(index),
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

function hallOf(index: number): string {
  return HALLS[index % HALLS.length] ?? HALLS[0];
}

/** Whether a router serves and knows what the others do. */
function isReady(status: RouterStatus): boolean {
  const hasConfiguration = status.configuration.customers >= 3;
  return status.phase === "serving" && hasConfiguration &&
    status.witness.synchronized;
}
