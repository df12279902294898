import { setTimeout as delay } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import type { FleetView } from "../membership/fleet_view.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerDirectory } from "../peer/peer_directory.ts";
import { Random } from "../random/random.ts";
import type { KeyRecord } from "./key_record.ts";
import { readKeyTime } from "./key_time.ts";
import { countVotes, type VoteVerdict } from "./vote_count.ts";
import { getWitnesses } from "./witness_set.ts";

const MAX_ROUNDS = 6;
/** Pause of the attempt that began first, which the others let pass. */
const FIRST_PAUSE_MS = 10;
const LEAST_PAUSE_MS = 40;
const MOST_PAUSE_MS = 120;

/** What a claim needs of the rest of the router. */
export interface KeyClaimOptions {
  ownId: string;
  directory: PeerDirectory;
  getView: () => FleetView;
  voteTimeoutMs: number;
}

/** Asks the witnesses of a key whether this router's attempt is the one that may run. */
export class KeyClaim {
  private readonly random = Random.create();
  private lastVotes: (FrameOf<"voted"> & { witness: string })[] = [];

  private constructor(
    private readonly options: KeyClaimOptions,
    private readonly key: string,
    private readonly fingerprint: string,
    /** Id of the attempt. */
    readonly attempt: string,
  ) {}

  /** Creates a claim; nothing is asked yet.
   * @param options What it needs.
   * @param key The idempotency key.
   * @param fingerprint Hash of the request. */
  static create(
    options: KeyClaimOptions,
    key: string,
    fingerprint: string,
  ): KeyClaim {
    return new KeyClaim(options, key, fingerprint, createUuid());
  }

  /** Asks until one attempt has won; an attempt that did not is released everywhere.
   * @param replaces Attempt that its holder gave up, or nothing. */
  async ask(replaces = ""): Promise<VoteVerdict> {
    let verdict: VoteVerdict = { type: "unconfirmed" };
    for (let round = 0; round < MAX_ROUNDS; round++) {
      verdict = await this.askOnce(replaces);
      if (verdict.type !== "held") return verdict;
      if (!this.isContested(verdict.record)) break;
      const isFirst = this.attempt < verdict.record.attempt;
      await delay(
        isFirst
          ? FIRST_PAUSE_MS
          : this.random.integer(LEAST_PAUSE_MS, MOST_PAUSE_MS),
      );
    }
    if (verdict.type === "held" && !this.isContested(verdict.record)) {
      await this.repair(verdict.record);
    }
    return verdict;
  }

  /** Gives the record of another attempt to the witnesses that do not have it. */
  private async repair(record: KeyRecord): Promise<void> {
    const { attempt, holder, fingerprint } = record;
    const knowing = new Set(
      this.lastVotes.filter((vote) => vote.attempt === attempt).map((vote) =>
        vote.witness
      ),
    );
    const lacking = this.getWitnesses().filter((id) => !knowing.has(id));
    await Promise.all(lacking.map(async (id) => {
      const client = await this.options.directory.getClient(id);
      client?.send({
        type: "record",
        exchange: 0,
        key: this.key,
        fingerprint,
        attempt,
        holder,
      });
    }));
  }

  /** Tells the witnesses that the attempt was certainly not run. */
  async release(): Promise<void> {
    await Promise.all(
      this.getWitnesses().map(async (id) => {
        const client = await this.options.directory.getClient(id);
        client?.send({
          type: "release",
          exchange: 0,
          key: this.key,
          attempt: this.attempt,
        });
      }),
    );
  }

  private async askOnce(replaces: string): Promise<VoteVerdict> {
    const witnesses = this.getWitnesses();
    const answers = await Promise.all(
      witnesses.map((id) => this.askWitness(id, replaces)),
    );
    const votes = answers.flatMap((vote, index) =>
      vote ? [{ ...vote, witness: witnesses[index]! }] : []
    );
    this.lastVotes = votes;
    const verdict = countVotes(
      this.attempt,
      witnesses.length,
      votes,
      readKeyTime(this.key) !== undefined,
    );
    if (verdict.type !== "claimed") await this.release();
    return verdict;
  }

  /** Whether the other attempt has not won either, so that both should ask again. */
  private isContested(record: KeyRecord): boolean {
    const forOther =
      this.lastVotes.filter((vote) => vote.attempt === record.attempt).length;
    return forOther * 2 <= this.getWitnesses().length;
  }

  private getWitnesses(): string[] {
    return getWitnesses(
      this.key,
      this.options.getView().routers.map((router) => router.host.id),
    );
  }

  private async askWitness(
    id: string,
    replaces: string,
  ): Promise<FrameOf<"voted"> | undefined> {
    const { directory, ownId, voteTimeoutMs } = this.options;
    const { key, fingerprint, attempt } = this;
    const build = (exchange: number) =>
      ({
        type: "vote",
        exchange,
        key,
        fingerprint,
        attempt,
        holder: ownId,
        replaces,
      }) as const;
    return await directory.ask(id, build, "voted", voteTimeoutMs);
  }
}
