import { CallDurations } from "../admission/call_durations.ts";
import { getOrCreateLruEntry } from "../admission/lru_entry.ts";
import type { RepeatAccess } from "../forward/call_forwarder_context.ts";
import type { RoutedCall } from "../forward/routed_call.ts";
import type { Logger } from "../logging/logger.ts";
import { decideRepeat, type RepeatCause } from "../scheduling/decide_repeat.ts";
import {
  FleetRoom,
  type RoomStatement,
  stateRoom,
} from "../scheduling/fleet_room.ts";
import type { JudgedRepeat } from "../scheduling/judged_repeat.ts";
import { RepeatOutcomes } from "../scheduling/repeat_outcomes.ts";
import type { RoomState } from "../scheduling/room_state.ts";
import type { SchedulingMode } from "../scheduling/scheduling_mode.ts";
import {
  compareRooms,
  type ServiceLoad,
  ServiceRoom,
} from "../scheduling/service_room.ts";

/** Time for which the state that this host sees is used, in milliseconds. */
const STATE_LIFETIME_MS = 100;
/** Maximum number of tracked services; the least recently used one is evicted. */
const MAX_SERVICES = 1_000;

/** Dependencies and callbacks of {@link RepeatControl}. */
export interface RepeatControlOptions {
  logger: Logger;
  mode: SchedulingMode;
  /** Returns the load of a service's upstreams. */
  measureLoad: (service: string, now: number) => ServiceLoad;
  /** Called with each decision on a repeat. */
  onDecision: (service: string, repeat: JudgedRepeat) => void;
  /** Called when this host sees another state of a service. */
  onRoomChange: (service: string, room: RoomState) => void;
  /** Returns monotonic milliseconds. */
  readNow: () => number;
}

interface TrackedRoom {
  room: ServiceRoom;
  state: RoomState;
  updatedAt: number;
}

/** Tracks how much room the services have, and decides whether repeats give way. In force only while requests are
 * scheduled by time. */
export class RepeatControl implements RepeatAccess {
  /** What other hosts state. */
  readonly fleet = FleetRoom.create();
  private readonly rooms = new Map<string, TrackedRoom>();
  private readonly outcomes = RepeatOutcomes.create();
  private readonly durations = CallDurations.create();

  private constructor(private readonly options: RepeatControlOptions) {}

  /** Creates a control to which all services have room.
   * @param options Its dependencies and callbacks. */
  static create(options: RepeatControlOptions): RepeatControl {
    return new RepeatControl(options);
  }

  recordFirstResponse(call: RoutedCall): void {
    const now = this.options.readNow();
    if (!this.isInForce(now)) return;
    const isLate = now - call.receivedAt > call.route.objectiveMs;
    this.getTracked(call.service).room.recordResponse(isLate, now);
  }

  recordRefusal(service: string): void {
    const now = this.options.readNow();
    if (this.isInForce(now)) this.getTracked(service).room.recordRefusal(now);
  }

  recordSecondRun({ route }: RoutedCall, wasServed: boolean): void {
    this.outcomes.record(route.name, wasServed, this.options.readNow());
  }

  /** Records an answered attempt.
   * @param route Name of its route.
   * @param durationMs Its duration in milliseconds. */
  recordCompletion(route: string, durationMs: number): void {
    this.durations.record(route, durationMs);
  }

  decide(
    { service, route }: RoutedCall,
    { cause, remainingMs }: { cause: RepeatCause; remainingMs: number },
  ): JudgedRepeat | undefined {
    const now = this.options.readNow();
    if (!this.isInForce(now)) return undefined;
    const room = this.getRoom(service, now);
    const decision = decideRepeat({
      cause,
      room,
      remainingMs,
      expectedMs: this.durations.getMeanMs(route.name),
      record: this.outcomes.get(route.name, now),
    });
    const judged = { cause, room, decision };
    this.options.onDecision(service, judged);
    return judged;
  }

  /** Returns how much room a service has: the worse of what this host sees and what the fleet states.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  getRoom(service: string, now: number): RoomState {
    const own = this.getOwnRoom(service, now);
    const fleet = this.fleet.getState(service, now);
    return compareRooms(own, fleet) > 0 ? own : fleet;
  }

  /** Returns what this host states to others; nothing while requests are scheduled by count. */
  getStatements(): RoomStatement[] {
    const now = this.options.readNow();
    if (!this.isInForce(now)) return [];
    return [...this.rooms.keys()].flatMap((service) =>
      stateRoom(service, this.getOwnRoom(service, now))
    );
  }

  private isInForce(now: number): boolean {
    return this.options.mode.getBasis(now) === "time";
  }

  private getOwnRoom(service: string, now: number): RoomState {
    const tracked = this.getTracked(service);
    if (now - tracked.updatedAt < STATE_LIFETIME_MS) return tracked.state;
    tracked.updatedAt = now;
    const load = this.options.measureLoad(service, now);
    const state = tracked.room.update(load, now);
    if (state !== tracked.state) this.recordChange(service, state, load);
    tracked.state = state;
    return state;
  }

  private recordChange(
    service: string,
    state: RoomState,
    load: ServiceLoad,
  ): void {
    this.options.logger.info({ service, state, ...load }, "room_changed");
    this.options.onRoomChange(service, state);
  }

  private getTracked(service: string): TrackedRoom {
    return getOrCreateLruEntry(
      this.rooms,
      service,
      () => ({
        room: ServiceRoom.create(),
        state: "free",
        updatedAt: -Infinity,
      }),
      MAX_SERVICES,
    );
  }
}
