import { readClock } from "../clock/clock.ts";
import { setTimeout as delay } from "node:timers/promises";
import { rankByRendezvous } from "../hashing/rendezvous.ts";
import type { Logger } from "../logging/logger.ts";
import type { EngineInventory } from "../upstreams/engine_inventory.ts";
import type { PeerEntry } from "../peers/gossip_schema.ts";
import { PrefixIndex } from "../upstreams/prefix_index.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { PrefixExchange } from "./prefix_exchange.ts";

/** Time after the first configuration in which other hosts may be heard, in milliseconds: a round of gossip and a
 * little. */
const MIN_DISCOVERY_WAIT_MS = 260;
/** Time in which no further host is heard once all are, in milliseconds. */
const DISCOVERY_STABLE_MS = 130;
/** Longest wait until that is so, in milliseconds. */
const MAX_DISCOVERY_WAIT_MS = 2_000;
/** Time in which other hosts tell what they learned from their engines, in milliseconds; before, this one knows only a
 * part and does not answer others. */
const PEER_UPDATES_WAIT_MS = 1_500;
/** Engines up to which they are asked for their lists, each of which holds up its engine and has its price. Their number is
 * known at once, while a host that has just started hears few of the others. */
const MAX_LISTED_ENGINES = 24;
/** Hosts that are asked at most. */
const MAX_QUERIED_HOSTS = 3;

/** What the recovery needs. */
export interface PrefixRecoveryOptions {
  logger: Logger;
  prefixes: PrefixIndex;
  inventory: EngineInventory;
  exchange: PrefixExchange;
  hostId: string;
  /** The other hosts that are heard. */
  getHosts: () => readonly PeerEntry[];
  /** All engines that can list what they keep. */
  getEngines: () => readonly Upstream[];
}

/** Learns after a start which engines keep which parts: from another host, or where all were restarted at once and
 * nobody is left to tell, from the engines, each of which is asked once, by the first host in its order. Where there are
 * many engines they are not asked: what a host learns would reach few others, and each prompt has an engine by its order. */
export class PrefixRecovery {
  private constructor(private readonly options: PrefixRecoveryOptions) {}

  /** Creates a recovery.
   * @param options What it needs. */
  static create(options: PrefixRecoveryOptions): PrefixRecovery {
    return new PrefixRecovery(options);
  }

  /** Learns what is to be known. */
  async run(): Promise<void> {
    const hosts = await this.waitForStableHosts();
    const isKnown = await this.fetchFromHosts(hosts);
    const isWorthIt = this.options.getEngines().length <= MAX_LISTED_ENGINES;
    if (!isKnown && isWorthIt) {
      await this.recoverFromEngines(hosts.map((host) => host.id));
      await delay(PEER_UPDATES_WAIT_MS);
    }
    this.options.prefixes.markComplete();
  }

  /** Waits until no further host is heard: one that believes itself alone would ask engines that others ask too. */
  private async waitForStableHosts(): Promise<readonly PeerEntry[]> {
    const endsAt = readClock() + MAX_DISCOVERY_WAIT_MS;
    await delay(MIN_DISCOVERY_WAIT_MS);
    let hosts = this.options.getHosts();
    while (readClock() < endsAt) {
      await delay(DISCOVERY_STABLE_MS);
      const later = this.options.getHosts();
      if (later.length === hosts.length) return later;
      hosts = later;
    }
    return hosts;
  }

  private async fetchFromHosts(hosts: readonly PeerEntry[]): Promise<boolean> {
    const { exchange } = this.options;
    const asked = hosts.slice(0, MAX_QUERIED_HOSTS).map((host) =>
      exchange.fetch(host.peerAddress)
    );
    return (await Promise.all(asked)).includes(true);
  }

  private async recoverFromEngines(hostIds: readonly string[]): Promise<void> {
    const { hostId, getEngines } = this.options;
    const own = getEngines().filter((engine) =>
      rankByRendezvous(engine.id, [...hostIds, hostId])[0] === hostId
    );
    await Promise.all(own.map((engine) => this.recoverFromEngine(engine)));
  }

  private async recoverFromEngine(engine: Upstream): Promise<void> {
    const { inventory, prefixes, logger } = this.options;
    try {
      const parts = await listParts(inventory, engine);
      const sent = parts.map((id) => ({
        name: PrefixIndex.nameOf(id),
        tokens: 0,
      }));
      prefixes.noteSent(sent, engine.shortName, true, readClock());
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

/** Asks an engine for its list, and hears what its answer says besides.
 * @throws Error where it gives none. */
async function listParts(
  inventory: EngineInventory,
  engine: Upstream,
): Promise<readonly string[]> {
  const { availability } = engine;
  if (availability.getBackoffMs(readClock()) > 0) {
    throw new Error("the engine asked for a backoff");
  }
  const answer = await inventory.listParts(engine.address);
  if (engine.isOtherStart(answer.list?.startedAt)) {
    throw new Error("another start of the engine has answered");
  }
  availability.note(answer.availability, readClock());
  if (answer.list) return answer.list.parts;
  throw new Error(`the engine answered ${answer.status}`);
}
