import { hashText } from "../hashing/hasher.ts";
import { ROOM_STATES, type RoomState } from "./room_state.ts";
import { compareRooms } from "./service_room.ts";

/** Time for which a statement counts if no later one of its host is known, in milliseconds; a few gossip rounds of a
 * large fleet. */
const STATEMENT_TTL_MS = 2_500;
/** Fraction of the heard hosts that must see a state or a worse one, so that hosts which are cut off from upstreams do
 * not sway the others. */
const QUORUM_FRACTION = 0.5;
/** Time for which a computed state is used, in milliseconds. */
const STATE_LIFETIME_MS = 200;

/** How much room a service has according to a host: hash of the service's name and index of the state. */
export type RoomStatement = [service: number, state: number];

interface HostStatements {
  rooms: readonly RoomStatement[];
  /** Monotonic milliseconds. */
  at: number;
}

/** How much room services have according to the hosts of the fleet. Hosts state only what they see themselves, and only
 * services that are not free. */
export class FleetRoom {
  private readonly hosts = new Map<string, HostStatements>();
  private states = new Map<number, RoomState>();
  private computedAt = -Infinity;

  private constructor() {}

  /** Creates the view of a host that has heard from no other. */
  static create(): FleetRoom {
    return new FleetRoom();
  }

  /** Records the statements of another host, which replace its earlier ones.
   * @param hostId Id of the host.
   * @param rooms Its statements.
   * @param at Monotonic milliseconds at which it made them, as far as is known. */
  record(hostId: string, rooms: readonly RoomStatement[], at: number): void {
    if (at < (this.hosts.get(hostId)?.at ?? -Infinity)) return;
    this.hosts.set(hostId, { rooms, at });
  }

  /** Returns the worst state of a service that half of the heard hosts see, or a worse one.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  getState(service: string, now: number): RoomState {
    if (now - this.computedAt >= STATE_LIFETIME_MS) this.compute(now);
    return this.states.get(hashText(service)) ?? "free";
  }

  private compute(now: number): void {
    const counts = new Map<number, number[]>();
    for (const [hostId, { rooms, at }] of this.hosts) {
      if (now - at > STATEMENT_TTL_MS) this.hosts.delete(hostId);
      else countStatements(rooms, counts);
    }
    const quorum = Math.max(1, this.hosts.size * QUORUM_FRACTION);
    this.states = new Map(
      [...counts].map(([service, hosts]) => [
        service,
        ROOM_STATES[hosts.findLastIndex((count) => count >= quorum)] ?? "free",
      ]),
    );
    this.computedAt = now;
  }
}

/** Returns what a host states about a service; nothing if it is free.
 * @param service Name of the service.
 * @param state State that the host sees. */
export function stateRoom(service: string, state: RoomState): RoomStatement[] {
  return compareRooms(state, "free") > 0
    ? [[hashText(service), ROOM_STATES.indexOf(state)]]
    : [];
}

/** Adds a host's statements to the numbers of hosts that see each state or a worse one. */
function countStatements(
  rooms: readonly RoomStatement[],
  counts: Map<number, number[]>,
): void {
  for (const [service, state] of rooms) {
    const hosts = counts.get(service) ?? ROOM_STATES.map(() => 0);
    for (let index = 0; index <= state && index < hosts.length; index += 1) {
      hosts[index]! += 1;
    }
    counts.set(service, hosts);
  }
}
