/** Chats that come back to one engine through routers in virtual time. */
import {
  type Progress,
  recordNamedOwner,
} from "../../src/entry/dispatch_progress.ts";
import type { FrameOf } from "../../src/peer/frame_schema.ts";
import { buildOffer, createPort } from "./build_offer.ts";
import type { VirtualOwners } from "./virtual_owners.ts";
import { ENGINE_ID } from "./virtual_pool.ts";
import type { VirtualRouter } from "./virtual_router.ts";

const ACCEPT_TIMEOUT_MS = 700;
const OWNERS_PER_UPSTREAM = 3;
const PAUSE_MS = [5, 60] as const;

/** One request of a chat, as its entry knows it. */
interface ChatRequest
  extends Pick<Progress, "silent" | "retried" | "namedOwners"> {
  id: string;
  entry: VirtualRouter;
  heldBy: boolean;
  tries: number;
}

/** Sends chats until the fleet's time ends: each its next request soon after the last has ended. */
export class VirtualChats {
  /** Requests that were answered. */
  answered = 0;
  private count = 0;
  private readonly exchanges = { last: 0 };

  private constructor(private readonly fleet: VirtualOwners) {}

  /** Starts chats.
   * @param fleet The routers.
   * @param count Number of chats. */
  static create(fleet: VirtualOwners, count: number): VirtualChats {
    const chats = new VirtualChats(fleet);
    for (let index = 0; index < count; index++) chats.next();
    return chats;
  }

  private next(): void {
    const { random, timeline, routers } = this.fleet;
    timeline.after(random.integer(...PAUSE_MS), () => {
      const running = routers.filter((one) => one.state === "running");
      if (running.length === 0) return this.next();
      this.count += 1;
      this.offer({
        id: `q${this.count}`,
        entry: random.pick(running),
        silent: new Set(),
        retried: new Set(),
        namedOwners: new Map(),
        heldBy: false,
        tries: 0,
      });
    });
  }

  private offer(progress: ChatRequest): void {
    const { entry, silent } = progress;
    const named = progress.namedOwners.get(ENGINE_ID);
    progress.tries += 1;
    if (progress.tries > OWNERS_PER_UPSTREAM) return this.next();
    const [engine] = entry.view.upstreams;
    const usable = entry.placement.getOwners(engine!).filter((id) =>
      !silent.has(id)
    );
    const id = named !== undefined && !silent.has(named)
      ? named
      : usable[0] ?? entry.id;
    this.sendOffer(progress, this.fleet.getRouter(id));
  }

  private sendOffer(progress: ChatRequest, owner: VirtualRouter): void {
    const { fleet } = this;
    const { entry } = progress;
    let isOver = false;
    let isAnswered = false;
    let isAccepted = false;
    this.exchanges.last += 1;
    const exchange = this.exchanges.last;
    const lose = () => {
      if (isOver) return;
      isOver = true;
      owner.onClosed.delete(lose);
      progress.silent.add(owner.id);
      progress.heldBy ||= isAccepted;
      if (owner.state !== "dead") {
        fleet.runAt(
          owner,
          fleet.drawDelivery(),
          () => owner.scheduler.takeReply(port, { type: "cancel", exchange }),
        );
      }
      fleet.timeline.after(
        fleet.random.integer(0, 20),
        () => this.offer(progress),
      );
    };
    const port = createPort(entry.id, (frame) => {
      fleet.timeline.after(fleet.drawDelivery(), () => {
        if (isOver) return;
        isAnswered = true;
        if (frame.type === "accepted") {
          isAccepted = !frame.queued;
          return;
        }
        if (frame.type !== "declined" && frame.type !== "end") return;
        isOver = true;
        owner.onClosed.delete(lose);
        if (frame.type === "declined") this.takeDecline(progress, owner, frame);
        else {
          this.answered += 1;
          this.next();
        }
      });
    });
    if (owner.state === "dead") return lose();
    owner.onClosed.add(lose);
    const offer = buildOffer({
      exchange,
      requestId: progress.id,
      mayQueue: fleet.random.fraction() < 0.5,
      avoids: [...progress.silent],
      resumes: progress.heldBy,
    });
    fleet.runAt(
      owner,
      fleet.drawDelivery(),
      () => owner.scheduler.takeOffer(port, offer),
    );
    fleet.timeline.after(ACCEPT_TIMEOUT_MS, () => {
      if (!isAnswered) lose();
    });
  }

  private takeDecline(
    progress: ChatRequest,
    owner: VirtualRouter,
    { reason, owner: other }: FrameOf<"declined">,
  ): void {
    if (other !== "") recordNamedOwner(progress, ENGINE_ID, other);
    if (reason === "stale") progress.silent.add(owner.id);
    if (reason === "moved" || reason === "stale") this.offer(progress);
    else this.next();
  }
}
