import { DecayingCount } from "./decaying_count.ts";
import { ROOM_STATES, type RoomState } from "./room_state.ts";

/** Fraction of the slots in use from which requests start to wait at single upstreams. */
const TIGHT_USED_FRACTION = 0.8;
/** Fraction of the upstreams with waiting requests from which room is tight. */
const TIGHT_WAITING_FRACTION = 0.25;
/** Fraction of the requests that were refused for lack of room from which room is tight. */
const TIGHT_REFUSED_FRACTION = 0.05;
/** Fraction of the responses beyond their objectives from which tight room is exhausted. */
const EXHAUSTED_LATE_FRACTION = 0.2;
/** Fraction of the requests that were refused for lack of room from which room is exhausted. */
const EXHAUSTED_REFUSED_FRACTION = 0.2;
/** Fraction of the above thresholds below which a state ends. */
const EXIT_RATIO = 0.75;
/** Minimum time that a state lasts before a better one follows, in milliseconds. */
const MIN_STATE_MS = 1_000;
/** Time after which a response or a refusal counts half, in milliseconds. */
const EVENT_HALF_LIFE_MS = 700;
/** Number of recent responses and refusals below which their fractions show nothing. */
const MIN_EVENTS = 2;

/** Load of the upstreams of one service that may get requests, as known to this host. */
export interface ServiceLoad {
  upstreams: number;
  /** Upstreams on which requests wait. */
  waitingUpstreams: number;
  /** Requests that all upstreams together run at a time. */
  slots: number;
  /** Running and waiting requests of all hosts. */
  requests: number;
}

/** Derives how much room the upstreams of one service have, from what this host sees. A worse state takes effect at
 * once; a better one only when the load has clearly dropped. */
export class ServiceRoom {
  private readonly responses = DecayingCount.create(EVENT_HALF_LIFE_MS);
  private readonly lateResponses = DecayingCount.create(EVENT_HALF_LIFE_MS);
  private readonly refusals = DecayingCount.create(EVENT_HALF_LIFE_MS);
  private state: RoomState = "free";
  private changedAt = -Infinity;

  private constructor() {}

  /** Creates the room of a service whose load is not known, which counts as free. */
  static create(): ServiceRoom {
    return new ServiceRoom();
  }

  /** Records the first response to a request, or that it got none in time.
   * @param isLate Whether it is beyond the objective of its route.
   * @param now Monotonic milliseconds. */
  recordResponse(isLate: boolean, now: number): void {
    this.responses.add(now);
    if (isLate) this.lateResponses.add(now);
  }

  /** Records that an upstream or this host refused a request for lack of room.
   * @param now Monotonic milliseconds. */
  recordRefusal(now: number): void {
    this.refusals.add(now);
  }

  /** Updates the state with a load and returns it.
   * @param load Load of the service's upstreams.
   * @param now Monotonic milliseconds. */
  update(load: ServiceLoad, now: number): RoomState {
    const entered = this.computeState(load, now, 1);
    const kept = this.computeState(load, now, EXIT_RATIO);
    if (compareRooms(entered, this.state) > 0) this.change(entered, now);
    else if (
      compareRooms(kept, this.state) < 0 && now - this.changedAt >= MIN_STATE_MS
    ) this.change(kept, now);
    return this.state;
  }

  private change(state: RoomState, now: number): void {
    this.state = state;
    this.changedAt = now;
  }

  private computeState(
    { upstreams, waitingUpstreams, slots, requests }: ServiceLoad,
    now: number,
    ratio: number,
  ): RoomState {
    const responses = this.responses.get(now);
    const refusals = this.refusals.get(now);
    const late = divide(this.lateResponses.get(now), responses, MIN_EVENTS);
    const refused = divide(refusals, refusals + responses, MIN_EVENTS);
    const isTight = divide(requests, slots) >= TIGHT_USED_FRACTION * ratio ||
      divide(waitingUpstreams, upstreams) >= TIGHT_WAITING_FRACTION * ratio ||
      refused >= TIGHT_REFUSED_FRACTION * ratio;
    if (!isTight) return "free";
    const isExhausted = late >= EXHAUSTED_LATE_FRACTION * ratio ||
      refused >= EXHAUSTED_REFUSED_FRACTION * ratio;
    return isExhausted ? "exhausted" : "tight";
  }
}

/** Compares two states; positive if the first has less room.
 * @param one A state.
 * @param other Another state. */
export function compareRooms(one: RoomState, other: RoomState): number {
  return ROOM_STATES.indexOf(one) - ROOM_STATES.indexOf(other);
}

/** Divides a part by its whole; 0 if the whole is too small. */
function divide(part: number, whole: number, minimum = 1): number {
  return whole < minimum ? 0 : part / whole;
}
