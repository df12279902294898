import { setTimeout as delay } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import type { FleetView } from "../membership/fleet_view.ts";
import type { FrameOf } from "../peer/frame_schema.ts";
import type { PeerConnectionPool } from "../peer/peer_connection_pool.ts";
import { Random } from "../random/random.ts";
import type { KeyRecord } from "./key_record.ts";
import { parseKeyTimestamp } from "./key_timestamp.ts";
import { countVotes, type VoteResult } from "./vote_count.ts";
import { getWitnesses } from "./witness_set.ts";

const MAX_VOTE_ROUNDS = 6;
/** Backoff of the earlier of two competing attempts, shorter than that of the later one, which gives way to it. */
const EARLIER_ATTEMPT_BACKOFF_MS = 10;
const MIN_BACKOFF_MS = 40;
const MAX_BACKOFF_MS = 120;

/** Dependencies of a `KeyClaim`. */
export interface KeyClaimOptions {
  ownId: string;
  connectionPool: PeerConnectionPool;
  getView: () => FleetView;
  voteTimeoutMs: number;
}

/** Claims an idempotency key for one attempt of this router by a majority vote of the key's witnesses. */
export class KeyClaim {
  private readonly random = Random.create();
  private lastVotes: (FrameOf<"voted"> & { witness: string })[] = [];

  private constructor(
    private readonly options: KeyClaimOptions,
    private readonly key: string,
    private readonly fingerprint: string,
    /** Id of the attempt, a version 7 UUID, so that ids of later attempts compare greater. */
    readonly attempt: string,
  ) {}

  /** Creates a claim without contacting any witness.
   * @param key The idempotency key.
   * @param fingerprint Hash of the request. */
  static create(
    options: KeyClaimOptions,
    key: string,
    fingerprint: string,
  ): KeyClaim {
    return new KeyClaim(options, key, fingerprint, createUuid());
  }

  /** Runs vote rounds until the vote is not split or `MAX_VOTE_ROUNDS` is reached. After each round that this attempt
   * did not win, it is released at all witnesses.
   * @param replaces Id of an attempt that its holder gave up and this one replaces, or an empty string. */
  async acquire(replaces = ""): Promise<VoteResult> {
    let result: VoteResult = { type: "unconfirmed" };
    for (let round = 0; round < MAX_VOTE_ROUNDS; round++) {
      result = await this.runVoteRound(replaces);
      if (result.type !== "held") return result;
      if (!this.isSplitVote(result.record)) break;
      const isEarlier = this.attempt < result.record.attempt;
      await delay(
        isEarlier
          ? EARLIER_ATTEMPT_BACKOFF_MS
          : this.random.integer(MIN_BACKOFF_MS, MAX_BACKOFF_MS),
      );
    }
    if (result.type === "held" && !this.isSplitVote(result.record)) {
      await this.repairWitnesses(result.record);
    }
    return result;
  }

  /** Sends the record of the attempt that won to the witnesses that did not report it (read repair). */
  private async repairWitnesses(record: KeyRecord): Promise<void> {
    const { attempt, holder, fingerprint } = record;
    const upToDate = new Set(
      this.lastVotes.filter((vote) => vote.attempt === attempt).map((vote) =>
        vote.witness
      ),
    );
    const outdated = this.getWitnesses().filter((id) => !upToDate.has(id));
    await Promise.all(outdated.map(async (id) => {
      const client = await this.options.connectionPool.getClient(id);
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

  /** Tells the witnesses that the attempt was certainly not run, so that they drop its record. */
  async release(): Promise<void> {
    await Promise.all(
      this.getWitnesses().map(async (id) => {
        const client = await this.options.connectionPool.getClient(id);
        client?.send({
          type: "release",
          exchange: 0,
          key: this.key,
          attempt: this.attempt,
        });
      }),
    );
  }

  private async runVoteRound(replaces: string): Promise<VoteResult> {
    const witnesses = this.getWitnesses();
    const responses = await Promise.all(
      witnesses.map((id) => this.requestVote(id, replaces)),
    );
    const votes = responses.flatMap((vote, index) =>
      vote ? [{ ...vote, witness: witnesses[index]! }] : []
    );
    this.lastVotes = votes;
    const result = countVotes(
      this.attempt,
      witnesses.length,
      votes,
      parseKeyTimestamp(this.key) !== undefined,
    );
    if (result.type !== "claimed") await this.release();
    return result;
  }

  /** Whether the other attempt lacks a majority too (a split vote), so that both have to run another round. */
  private isSplitVote(record: KeyRecord): boolean {
    const otherVotes =
      this.lastVotes.filter((vote) => vote.attempt === record.attempt).length;
    return otherVotes * 2 <= this.getWitnesses().length;
  }

  private getWitnesses(): string[] {
    return getWitnesses(
      this.key,
      this.options.getView().routers.map((router) => router.host.id),
    );
  }

  private async requestVote(
    id: string,
    replaces: string,
  ): Promise<FrameOf<"voted"> | undefined> {
    const { connectionPool, ownId, voteTimeoutMs } = this.options;
    const { key, fingerprint, attempt } = this;
    const buildFrame = (exchange: number) =>
      ({
        type: "vote",
        exchange,
        key,
        fingerprint,
        attempt,
        holder: ownId,
        replaces,
      }) as const;
    return await connectionPool.request(id, buildFrame, "voted", voteTimeoutMs);
  }
}
