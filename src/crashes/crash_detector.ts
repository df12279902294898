import type { Logger } from "../logging/logger.ts";
import { checkConnection, type CheckResult } from "./connection_check.ts";

/** Time for which a break waits to be told from a crash where the check is undecided, in milliseconds: longer than the entry
 * of an upstream that crashed stays in the list. */
const UNDECIDED_MS = 8_000;

/** One start of an upstream, as the detector sees it. */
export interface CheckedUpstream {
  /** Its id, for the log. */
  readonly id: string;
  /** Short name of the start in what hosts tell each other. */
  readonly shortName: number;
  /** Address as ip:port. */
  readonly address: string;
  /** Whether it was leaving or gone when it was asked, so that its end is no crash. */
  readonly isEndExpected: boolean;
}

/** A request whose connection ended before its answer did. */
export interface Suspect {
  fingerprint: number;
  /** Points that count against it if this was a crash. */
  points: number;
}

/** What the detector needs and whom it tells. */
export interface CrashDetectorOptions {
  logger: Logger;
  /** Told once of an upstream that crashed. */
  onCrash: (upstream: CheckedUpstream) => void;
  /** Told of requests that were on it. */
  onBlame: (upstream: CheckedUpstream, suspects: readonly Suspect[]) => void;
  /** Finds out whether something listens at an address. */
  check?: (address: string) => Promise<CheckResult>;
}

/** What is known of one upstream whose connections broke. */
interface Suspicion {
  upstream: CheckedUpstream;
  suspects: Suspect[];
  hasCrashed: boolean;
  timer: NodeJS.Timeout | undefined;
}

/** Tells the crash of an upstream from a single connection that was cut or reset: after a crash nothing listens at its
 * address. Asked at once with a connection of its own, for the next request there may come seconds later. */
export class CrashDetector {
  /** By short name of the start. */
  private readonly suspicions = new Map<number, Suspicion>();

  private constructor(private readonly options: CrashDetectorOptions) {}

  /** Creates a detector.
   * @param options What it needs. */
  static create(options: CrashDetectorOptions): CrashDetector {
    return new CrashDetector(options);
  }

  /** Takes a request whose connection ended before its answer did.
   * @param upstream Where it was sent.
   * @param suspect The request. */
  noteBroken(upstream: CheckedUpstream, suspect: Suspect): void {
    if (upstream.isEndExpected) return;
    const known = this.suspicions.get(upstream.shortName);
    if (known?.hasCrashed) return this.options.onBlame(upstream, [suspect]);
    if (known) known.suspects.push(suspect);
    else this.start(upstream, [suspect]);
  }

  /** Points that would count against a request if the breaks that are not yet understood were crashes; several tries of it
   * on one upstream count once.
   * @param fingerprint Its fingerprint. */
  getPendingPoints(fingerprint: number): number {
    return [...this.suspicions.values()].filter((one) => !one.hasCrashed)
      .map((one) => getPoints(one.suspects, fingerprint))
      .reduce((sum, points) => sum + points, 0);
  }

  /** Takes another host's word that an upstream has crashed; believed where nothing listens there, for that host may only be
   * cut off from it.
   * @param upstream The upstream. */
  noteRumour(upstream: CheckedUpstream): void {
    if (upstream.isEndExpected) return;
    if (!this.suspicions.has(upstream.shortName)) this.start(upstream, []);
  }

  /** Takes word that a start of an upstream has ended.
   * @param upstream Short name of the start. */
  noteGone(upstream: number): void {
    const known = this.suspicions.get(upstream);
    if (known && !known.hasCrashed) this.confirm(known);
  }

  /** Ends what waits. */
  close(): void {
    for (const { timer } of this.suspicions.values()) clearTimeout(timer);
    this.suspicions.clear();
  }

  private start(upstream: CheckedUpstream, suspects: Suspect[]): void {
    const suspicion: Suspicion = {
      upstream,
      suspects,
      hasCrashed: false,
      timer: undefined,
    };
    this.suspicions.set(upstream.shortName, suspicion);
    void this.check(suspicion);
  }

  private async check(suspicion: Suspicion): Promise<void> {
    const { upstream } = suspicion;
    const check = this.options.check ?? checkConnection;
    const result = await check(upstream.address);
    if (this.suspicions.get(upstream.shortName) !== suspicion) return;
    if (result === "refused") return this.confirm(suspicion);
    if (result === "taken") return this.dismiss(suspicion, result);
    suspicion.timer = setTimeout(
      () => this.dismiss(suspicion, result),
      UNDECIDED_MS,
    );
  }

  private confirm(suspicion: Suspicion): void {
    if (suspicion.hasCrashed) return;
    clearTimeout(suspicion.timer);
    suspicion.hasCrashed = true;
    const { upstream, suspects } = suspicion;
    this.options.logger.warn(
      { upstream: upstream.id, requests: suspects.length },
      "upstream_crashed",
    );
    this.options.onCrash(upstream);
    if (suspects.length > 0) this.options.onBlame(upstream, suspects);
    this.forgetLater(suspicion);
  }

  private dismiss(suspicion: Suspicion, result: CheckResult): void {
    const { upstream, suspects, hasCrashed } = suspicion;
    if (hasCrashed) return;
    this.suspicions.delete(upstream.shortName);
    this.options.logger.info(
      { upstream: upstream.id, requests: suspects.length, check: result },
      "upstream_not_crashed",
    );
  }

  /** Requests whose connections end a little later than the first are blamed too. */
  private forgetLater(suspicion: Suspicion): void {
    const { shortName } = suspicion.upstream;
    suspicion.timer = setTimeout(
      () => this.suspicions.delete(shortName),
      UNDECIDED_MS,
    );
    suspicion.timer.unref();
  }
}

function getPoints(suspects: readonly Suspect[], fingerprint: number): number {
  const same = suspects.filter((one) => one.fingerprint === fingerprint);
  return Math.max(0, ...same.map((one) => one.points));
}
