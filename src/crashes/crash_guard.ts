import { readClock } from "../clock/clock.ts";
import { Failure } from "../errors/failure.ts";
import type { Logger } from "../logging/logger.ts";
import {
  type CheckedUpstream,
  CrashDetector,
  type Suspect,
} from "./crash_detector.ts";
import { type CrashHold, CrashMemory } from "./crash_memory.ts";
import { CRASH_POINTS, HOLDING_POINTS } from "./crash_record.ts";

/** What the guard needs and whom it tells. */
export interface CrashGuardOptions {
  logger: Logger;
  /** Writes a fingerprint for the log. */
  describe: (fingerprint: number) => string;
  /** Told that there is news for other hosts. */
  onNews: () => void;
  /** Told of a request that is held from now on; tries of it that are under way unanswered are to end. */
  onHeld: (fingerprint: number) => void;
  /** Told of each upstream that crashed, by its short name, once nothing listens at its address any more. */
  onCrash: (upstream: number) => void;
  /** Told that another host says so of one. */
  onRumour: (upstream: number) => void;
}

/** Keeps requests that crash upstreams from crashing more of them. */
export class CrashGuard {
  /** What is remembered, from this host's attempts and other hosts' word. */
  readonly memory: CrashMemory;
  private readonly detector: CrashDetector;

  private constructor(private readonly options: CrashGuardOptions) {
    this.memory = CrashMemory.create({
      onNews: options.onNews,
      onCrashHeard: options.onRumour,
      onHeld: (fingerprint, hold) => this.takeHold(fingerprint, hold),
    });
    this.detector = CrashDetector.create({
      logger: options.logger,
      onCrash: ({ shortName }) => options.onCrash(shortName),
      onBlame: ({ shortName }, suspects) => this.blame(shortName, suspects),
    });
  }

  /** Creates a guard that remembers nothing.
   * @param options What it needs. */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** The refusal of a request that is held, as not run, with the time until it may be sent again; nothing where it may be
   * sent.
   * @param fingerprint Its fingerprint. */
  findRefusal(fingerprint: number): Failure | undefined {
    const hold = this.memory.getHold(fingerprint, readClock());
    if (!hold) return undefined;
    const { points, remainingMs } = hold;
    return Failure.create(
      "crashes_upstreams",
      `${this.options.describe(fingerprint)} has ${points} points`,
      remainingMs,
    );
  }

  /** Whether a request that failed may be sent to another upstream: breaks that are not yet told from crashes count too,
   * for the answer to that comes later than the next attempt would crash its upstream.
   * @param fingerprint Its fingerprint. */
  maySendAgain(fingerprint: number): boolean {
    const points = this.memory.getPoints(fingerprint) +
      this.detector.getPendingPoints(fingerprint);
    return points < HOLDING_POINTS;
  }

  /** Takes an attempt whose connection ended before its answer did.
   * @param upstream Where the request was sent.
   * @param fingerprint Fingerprint of the request.
   * @param isAnsweredInPart Whether the attempt had brought events. */
  noteBroken(
    upstream: CheckedUpstream,
    fingerprint: number,
    isAnsweredInPart: boolean,
  ): void {
    const points =
      CRASH_POINTS[isAnsweredInPart ? "answeredInPart" : "unanswered"];
    this.detector.noteBroken(upstream, { fingerprint, points });
  }

  /** Takes another host's word that an upstream has crashed.
   * @param upstream The upstream. */
  noteRumour(upstream: CheckedUpstream): void {
    this.detector.noteRumour(upstream);
  }

  /** Takes a request that an upstream ran to its end, whatever the answer.
   * @param fingerprint Its fingerprint. */
  noteServed(fingerprint: number): void {
    this.memory.noteServed(fingerprint, readClock());
  }

  /** Takes word that a start of an upstream has ended.
   * @param upstream Short name of the start. */
  noteGone(upstream: number): void {
    this.detector.noteGone(upstream);
  }

  /** Ends what waits. */
  close(): void {
    this.detector.close();
  }

  private blame(upstream: number, suspects: readonly Suspect[]): void {
    const now = readClock();
    for (const { fingerprint, points } of suspects) {
      this.memory.noteCrash(fingerprint, upstream, points, now);
    }
  }

  private takeHold(fingerprint: number, hold: CrashHold): void {
    const { points, remainingMs } = hold;
    this.options.logger.warn({
      fingerprint: this.options.describe(fingerprint),
      points,
      holdMs: Math.round(remainingMs),
    }, "request_held");
    this.options.onHeld(fingerprint);
  }
}
