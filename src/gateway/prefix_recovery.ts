import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import { PrefixIndex } from "../upstreams/prefix_index.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { PrefixExchange } from "./prefix_exchange.ts";

/** Minimum time to discover other hosts after the first configuration: slightly more than one gossip round. */
const MIN_DISCOVERY_WAIT_MS = 260;
/** Time without a newly discovered host after which discovery counts as complete. */
const DISCOVERY_STABLE_MS = 130;
/** Maximum time to wait for discovery to complete. */
const MAX_DISCOVERY_WAIT_MS = 2_000;
/** Time in which other hosts announce what they have learned from their engines. Until it is over, this host's index is
 * incomplete and is not served to others. */
const PEER_UPDATES_WAIT_MS = 1_500;
/** Maximum number of engines for which they are asked to list their cached parts: each list blocks its engine's work
 * and has a cost. The limit is on engines because their number is known immediately, while a host that has just started
 * hears few others. */
const MAX_LISTED_ENGINES = 200;
/** Maximum number of hosts to fetch the index from. */
const MAX_QUERIED_HOSTS = 3;

/** Dependencies of a {@link PrefixRecovery}. */
export interface PrefixRecoveryOptions {
  logger: Logger;
  prefixes: PrefixIndex;
  inventory: EngineInventory;
  exchange: PrefixExchange;
  hostId: string;
  /** Returns the other live hosts. */
  getHosts: () => readonly PeerEntry[];
  /** Returns all engines that can list their cached parts. */
  getEngines: () => readonly Upstream[];
}

/** Recovers after a start which engines have which prompt parts cached. The index is fetched from another host. If all
 * hosts were restarted at once and none has it, the engines list their parts; each is asked once, by the host that
 * ranks first for it, which announces what it learns. Very many engines are not asked; each prompt has an engine by its
 * rendezvous order anyway. */
export class PrefixRecovery {
  private constructor(private readonly options: PrefixRecoveryOptions) {}

  /** Creates a recovery.
   * @param options Its dependencies. */
  static create(options: PrefixRecoveryOptions): PrefixRecovery {
    return new PrefixRecovery(options);
  }

  /** Runs the recovery and marks the index as complete. */
  async run(): Promise<void> {
    const hosts = await this.waitForStableHosts();
    const isRecovered = await this.fetchFromHosts(hosts);
    const mayListEngines =
      this.options.getEngines().length <= MAX_LISTED_ENGINES;
    if (!isRecovered && mayListEngines) {
      await this.recoverFromEngines(hosts.map((host) => host.id));
      await delay(PEER_UPDATES_WAIT_MS);
    }
    this.options.prefixes.markComplete();
  }

  /** Waits until no new host is discovered. A host that wrongly takes itself for the only one would ask engines that
   * others ask too. */
  private async waitForStableHosts(): Promise<readonly PeerEntry[]> {
    const endsAt = readClock() + MAX_DISCOVERY_WAIT_MS;
    await delay(MIN_DISCOVERY_WAIT_MS);
    let hosts = this.options.getHosts();
    while (readClock() < endsAt) {
      await delay(DISCOVERY_STABLE_MS);
      const latest = this.options.getHosts();
      if (latest.length === hosts.length) return latest;
      hosts = latest;
    }
    return hosts;
  }

  private async fetchFromHosts(hosts: readonly PeerEntry[]): Promise<boolean> {
    const { exchange } = this.options;
    const fetches = hosts.slice(0, MAX_QUERIED_HOSTS).map((host) =>
      exchange.fetch(host.peerAddress)
    );
    return (await Promise.all(fetches)).includes(true);
  }

  private async recoverFromEngines(hostIds: readonly string[]): Promise<void> {
    const { hostId, getEngines } = this.options;
    const assigned = getEngines().filter((engine) =>
      rankByRendezvous(engine.id, [...hostIds, hostId])[0] === hostId
    );
    await Promise.all(assigned.map((engine) => this.recoverFromEngine(engine)));
  }

  private async recoverFromEngine(engine: Upstream): Promise<void> {
    const { inventory, prefixes, logger } = this.options;
    try {
      const parts = await listParts(inventory, engine);
      const sent = parts.map((id) => ({
        name: PrefixIndex.hashPartId(id),
        tokens: 0,
      }));
      prefixes.recordSent(sent, engine.instanceHash, true, readClock());
      logger.info(
        { upstream: engine.id, parts: parts.length },
        "prefixes_recovered",
      );
    } catch (error) {
      const reason = (error as Error).message;
      logger.info({ upstream: engine.id, reason }, "prefixes_not_recovered");
    }
  }
}

/** Lists the prompt parts that an engine has cached, and records the availability that its response reports.
 * @throws Error if the engine returns no list. */
async function listParts(
  inventory: EngineInventory,
  engine: Upstream,
): Promise<readonly string[]> {
  const { availability } = engine;
  if (availability.getBackoffMs(readClock()) > 0) {
    throw new Error("engine has requested a backoff");
  }
  const response = await inventory.listParts(engine.address);
  if (engine.isOtherInstance(response.list?.startedAt)) {
    throw new Error("engine has restarted since its entry was published");
  }
  availability.recordNotice(response.availability, readClock());
  if (response.list) return response.list.parts;
  throw new Error(`engine responded with status ${response.status}`);
}
