import type { RepeatCause, RepeatDecision } from "./decide_repeat.ts";
import type { RoomState } from "./room_state.ts";

/** A decision on a repeat with what it was based on. */
export interface JudgedRepeat {
  cause: RepeatCause;
  room: RoomState;
  decision: RepeatDecision;
}
