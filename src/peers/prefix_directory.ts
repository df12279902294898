import { readClock } from "../clock/clock.ts";
import type { PrefixIndex, PrefixUpdate } from "../upstreams/prefix_index.ts";
import type { DatagramSocket } from "./datagram_socket.ts";
import type { HostRing } from "./host_ring.ts";

/** Number of directory hosts of each part, so that one of them may fail. */
const DIRECTORY_HOSTS = 2;
/** Time for which prefix updates are batched before they are sent, in milliseconds. */
const BATCH_DELAY_MS = 15;
/** Maximum number of prefix updates in a datagram, so that it fits into one packet. */
const MAX_UPDATES_PER_DATAGRAM = 80;
/** Time without a response after which a lookup goes to the next directory host as well, in milliseconds: longer than a
 * round-trip time between halls, and well below the timeout. */
const NEXT_HOST_DELAY_MS = 6;
/** Timeout of a lookup for which a request waits, in milliseconds: several round-trip times within a region, and short
 * compared with the latency objectives of streams. */
const LOOKUP_TIMEOUT_MS = 15;

/** Dependencies of the directory. */
export interface PrefixDirectoryOptions {
  socket: DatagramSocket;
  prefixes: PrefixIndex;
  /** Ring of the hosts that are live and not draining. */
  ring: HostRing;
}

/** A lookup that waits for responses. */
interface PendingLookup {
  part: number;
  /** Directory hosts that have not been asked yet. */
  hostsLeft: string[];
  responsesLeft: number;
  resolve: () => void;
}

/** Distributed directory of the engines that have a part of a prompt cached, for large fleets. Consistent
 * hashing assigns each part to two directory hosts; hosts that send the part to an engine publish a prefix update to
 * them, and other hosts look it up there. */
export class PrefixDirectory {
  private readonly waiting = new Map<number, PendingLookup>();
  private readonly batches = new Map<string, PrefixUpdate[]>();
  private batchTimer: NodeJS.Timeout | undefined;
  private lastLookupId = 0;

  private constructor(private readonly options: PrefixDirectoryOptions) {
    const { socket, prefixes } = options;
    socket.handle(
      "prefix_updates",
      ({ updates }) => prefixes.applyUpdates(updates, readClock()),
    );
    socket.handle("prefix_lookup_request", ({ lookupId, part }, sender) => {
      const holders = prefixes.getHolders(part, readClock());
      socket.send(sender, {
        type: "prefix_lookup_response",
        lookupId,
        holders,
      });
    });
    socket.handle("prefix_lookup_response", ({ lookupId, holders }) => {
      const lookup = this.waiting.get(lookupId);
      if (!lookup) return;
      prefixes.mergeHolders(lookup.part, holders, readClock());
      lookup.responsesLeft -= 1;
      if (holders.length > 0) lookup.resolve();
      else if (lookup.hostsLeft.length > 0) this.askNextHost(lookupId, lookup);
      else if (lookup.responsesLeft === 0) lookup.resolve();
    });
  }

  /** Creates a directory.
   * @param options Its dependencies. */
  static create(options: PrefixDirectoryOptions): PrefixDirectory {
    return new PrefixDirectory(options);
  }

  /** Publishes prefix updates to the directory hosts of their parts, in batches.
   * @param updates The updates. */
  publish(updates: readonly PrefixUpdate[]): void {
    for (const update of updates) {
      for (const directoryHost of this.getDirectoryHosts(update[0])) {
        const batch = this.batches.get(directoryHost) ?? [];
        batch.push(update);
        this.batches.set(directoryHost, batch);
      }
    }
    this.batchTimer ??= setTimeout(() => this.sendBatches(), BATCH_DELAY_MS);
  }

  /** Looks up a part at its directory hosts and records the result in the prefix index. The next host is asked if the one
   * before names no holders or does not respond soon. The promise resolves on the first response that names holders, when
   * all have responded, or on timeout. Returns undefined if no lookup is needed, because this host knows of an engine that
   * has the part cached, or if none is possible, because this host is the only directory host of the part.
   * @param part Hash of the part's id. */
  lookUp(part: number): Promise<void> | undefined {
    if (this.options.prefixes.isCachedAnywhere(part, readClock())) {
      return undefined;
    }
    const directoryHosts = this.getDirectoryHosts(part);
    return directoryHosts.length === 0
      ? undefined
      : this.sendLookup(part, directoryHosts);
  }

  /** Cancels the pending batch and resolves pending lookups. */
  close(): void {
    clearTimeout(this.batchTimer);
    for (const lookup of this.waiting.values()) lookup.resolve();
  }

  private async sendLookup(
    part: number,
    directoryHosts: readonly string[],
  ): Promise<void> {
    this.lastLookupId += 1;
    const lookupId = this.lastLookupId;
    const timers: NodeJS.Timeout[] = [];
    await new Promise<void>((resolve) => {
      const lookup = {
        part,
        hostsLeft: [...directoryHosts],
        responsesLeft: 0,
        resolve,
      };
      this.waiting.set(lookupId, lookup);
      timers.push(
        setTimeout(resolve, LOOKUP_TIMEOUT_MS),
        setTimeout(
          () => this.askNextHost(lookupId, lookup),
          NEXT_HOST_DELAY_MS,
        ),
      );
      this.askNextHost(lookupId, lookup);
    });
    for (const timer of timers) clearTimeout(timer);
    this.waiting.delete(lookupId);
  }

  private askNextHost(lookupId: number, lookup: PendingLookup): void {
    const host = lookup.hostsLeft.shift();
    if (host === undefined) return;
    lookup.responsesLeft += 1;
    const { part } = lookup;
    this.options.socket.send(host, {
      type: "prefix_lookup_request",
      lookupId,
      part,
    });
  }

  private sendBatches(): void {
    this.batchTimer = undefined;
    for (const [directoryHost, updates] of this.batches) {
      for (
        let first = 0;
        first < updates.length;
        first += MAX_UPDATES_PER_DATAGRAM
      ) {
        this.options.socket.send(directoryHost, {
          type: "prefix_updates",
          updates: updates.slice(first, first + MAX_UPDATES_PER_DATAGRAM),
        });
      }
    }
    this.batches.clear();
  }

  /** Returns the gossip addresses of the directory hosts of a part, without this host. */
  private getDirectoryHosts(part: number): string[] {
    return this.options.ring.getSuccessors(part, DIRECTORY_HOSTS);
  }
}
