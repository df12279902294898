import type { RepeatRecord } from "./repeat_outcomes.ts";
import type { RoomState } from "./room_state.ts";

/** Why a request is to be sent once more. `resume`: the stream has begun and continues elsewhere; `not_run`: the upstream
 * declined; `lost`: no host reaches the upstream; `broken`: the connection failed; `error`: the response is an error;
 * `stuck`: the upstream is silent towards all requests or failed lately; `overdue`: only this response is missing. */
export type RepeatCause =
  | "resume"
  | "not_run"
  | "lost"
  | "broken"
  | "error"
  | "stuck"
  | "overdue";

/** Whether a repeat is sent, and otherwise why not. `gives_way`: other requests need the room more; `no_time`: it would
 * likely end after the deadline; `fails_again`: second runs of the route have lately failed too. */
export type RepeatDecision = "sent" | "gives_way" | "no_time" | "fails_again";

/** What a decision on a repeat depends on. */
export interface Repeat {
  cause: RepeatCause;
  /** Room of the request's service. */
  room: RoomState;
  /** Time until the request's deadline, in milliseconds. */
  remainingMs: number;
  /** Expected time of another run, in milliseconds; undefined if it is not known. */
  expectedMs: number | undefined;
  /** How the recent second runs after errors ended that the route's requests got. */
  record: RepeatRecord;
}

/** Fraction of served second runs below which they are useless even if there is room for them, and the number of recent
 * runs that show it. */
const USELESS = { fraction: 0.05, minRuns: 20 } as const;
/** Fraction of served second runs below which a first run that they displace is worth more, and the number of recent
 * runs that show it. */
const WORTH_LESS = { fraction: 0.5, minRuns: 3 } as const;

/** Condition under which a repeat is sent. */
type Rule = "always" | "in_time" | "not_useless" | "worthwhile" | "never";

/** Conditions by cause and room. While room is short, the order is: begun streams, requests that were not run, requests
 * whose run was lost, errors, and last second runs beside one that may still end. */
const RULES: Readonly<Record<RepeatCause, Record<RoomState, Rule>>> = {
  resume: { free: "always", tight: "always", exhausted: "always" },
  not_run: { free: "always", tight: "always", exhausted: "in_time" },
  lost: { free: "always", tight: "in_time", exhausted: "in_time" },
  broken: { free: "always", tight: "in_time", exhausted: "in_time" },
  error: { free: "not_useless", tight: "worthwhile", exhausted: "never" },
  stuck: { free: "always", tight: "in_time", exhausted: "never" },
  overdue: { free: "always", tight: "never", exhausted: "never" },
};

const HANDLERS: Readonly<Record<Rule, (repeat: Repeat) => RepeatDecision>> = {
  always: () => "sent",
  in_time: decideByTime,
  not_useless: (repeat) => decideByRecord(repeat, USELESS),
  worthwhile: (repeat) => {
    const decision = decideByRecord(repeat, WORTH_LESS);
    return decision === "sent" ? decideByTime(repeat) : decision;
  },
  never: () => "gives_way",
};

/** Decides whether a request is sent once more. While the fleet is short of room, repeats give way to first attempts.
 * @param repeat What the decision depends on. */
export function decideRepeat(repeat: Repeat): RepeatDecision {
  return HANDLERS[RULES[repeat.cause][repeat.room]](repeat);
}

function decideByTime({ remainingMs, expectedMs }: Repeat): RepeatDecision {
  return expectedMs === undefined || expectedMs <= remainingMs
    ? "sent"
    : "no_time";
}

function decideByRecord(
  { record: { runs, served } }: Repeat,
  { fraction, minRuns }: { fraction: number; minRuns: number },
): RepeatDecision {
  return runs < minRuns || served >= runs * fraction ? "sent" : "fails_again";
}
