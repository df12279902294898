import type { Random } from "../src/random/random.ts";
import { WorkerPace } from "./worker_pace.ts";
import { WorkerRoom } from "./worker_room.ts";

/** Slots of a worker without hard load; it declines requests beyond them. */
const STEADY_SLOTS = 12;
/** Slots of a worker under hard load. */
const HARD_SLOTS = 3;
/** Most requests that wait on a worker under hard load. */
const HARD_QUEUE_LIMIT = 2;
/** Time to prefill one token of a prompt under hard load on the fastest worker, in milliseconds. */
const PREFILL_MS_PER_TOKEN = 0.01;
/** Time of the work on a request without a prompt under hard load on the fastest worker, in milliseconds. */
const PLAIN_MS = 60;

/** How workers are loaded in a run: evenly and with room to spare, or unevenly and beyond their room at times. Whether
 * workers report how much slower than usual they work decides how gateways schedule. */
export const LOAD_KINDS = ["steady", "hard", "hard_reported"] as const;

/** Kind of load of a run. */
export type LoadKind = typeof LOAD_KINDS[number];

/** Room and speed of one worker, and what it reports of them. */
export class WorkerLoad {
  private constructor(
    readonly room: WorkerRoom,
    private readonly pace: WorkerPace | undefined,
    private readonly reportsSlowdown: boolean,
  ) {}

  /** Creates the load of a worker that always works at the same speed and reports nothing. */
  static createSteady(): WorkerLoad {
    return new WorkerLoad(WorkerRoom.create(STEADY_SLOTS, 0), undefined, false);
  }

  /** Creates the load of a worker with little room and changing speed.
   * @param random Source of randomness that nothing else draws from.
   * @param startsSlowly Whether the worker is slower at first.
   * @param reportsSlowdown Whether its load header has the fourth figure. */
  static createHard(
    random: Random,
    startsSlowly: boolean,
    reportsSlowdown: boolean,
  ): WorkerLoad {
    const pace = WorkerPace.create(random, performance.now(), startsSlowly);
    const room = WorkerRoom.create(HARD_SLOTS, HARD_QUEUE_LIMIT);
    return new WorkerLoad(room, pace, reportsSlowdown);
  }

  /** Factor by which work takes longer now. */
  get workFactor(): number {
    return this.pace?.getWorkFactor(performance.now()) ?? 1;
  }

  /** Headers that report the load; none if the worker reports nothing. */
  get headers(): Record<string, string> {
    if (!this.pace) return {};
    const { running, waiting, slots } = this.room;
    const percent = 100 * this.pace.getSlowdown(performance.now());
    const figures = [running, waiting, slots];
    if (this.reportsSlowdown) figures.push(percent);
    return { "X-Beechkeel-Server-Load": figures.join(",") };
  }

  /** Returns the time of the work before a response on the fastest worker, in milliseconds.
   * @param promptTokens Number of tokens of the prompt; 0 if a request has none. */
  getPreparationMs(promptTokens: number): number {
    if (!this.pace) return 0;
    return promptTokens > 0 ? promptTokens * PREFILL_MS_PER_TOKEN : PLAIN_MS;
  }
}
