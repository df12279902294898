/** Simulates, in virtual time, chats that repeatedly send requests to one engine through entry routers. */
import {
  type DispatchProgress,
  recordRedirect,
} from "../../src/entry/dispatch_progress.ts";
import type { FrameOf } from "../../src/peer/frame_schema.ts";
import { buildOffer, createPort } from "./build_offer.ts";
import type { VirtualOwners } from "./virtual_owners.ts";
import { ENGINE_ID } from "./virtual_pool.ts";
import type { VirtualRouter } from "./virtual_router.ts";

/** Time within which an owner must respond to an offer. */
const ACCEPT_TIMEOUT_MS = 700;
const MAX_ATTEMPTS = 3;
/** Range of the time between the end of a request of a chat and the next request. */
const THINK_TIME_MS = [5, 60] as const;

/** The state of one request of a chat at its entry router. */
interface ChatRequest
  extends Pick<DispatchProgress, "silent" | "retried" | "namedOwners"> {
  id: string;
  entry: VirtualRouter;
  /** Whether the engine may still run the request for a failed owner. */
  mayBeRunning: boolean;
  attempts: number;
}

/** Runs chats until the simulation ends; each sends its next request soon after the previous one has ended. */
export class VirtualChats {
  /** Number of completed requests. */
  answered = 0;
  private sentCount = 0;
  private readonly exchanges = { last: 0 };

  private constructor(private readonly fleet: VirtualOwners) {}

  /** Starts chats.
   * @param fleet The simulated routers.
   * @param count Number of chats. */
  static create(fleet: VirtualOwners, count: number): VirtualChats {
    const chats = new VirtualChats(fleet);
    for (let index = 0; index < count; index++) chats.scheduleNext();
    return chats;
  }

  private scheduleNext(): void {
    const { random, timeline, routers } = this.fleet;
    timeline.after(random.integer(...THINK_TIME_MS), () => {
      const running = routers.filter((one) => one.state === "running");
      if (running.length === 0) return this.scheduleNext();
      this.sentCount += 1;
      this.offer({
        id: `q${this.sentCount}`,
        entry: random.pick(running),
        silent: new Set(),
        retried: new Set(),
        namedOwners: new Map(),
        mayBeRunning: false,
        attempts: 0,
      });
    });
  }

  private offer(progress: ChatRequest): void {
    const { entry, silent } = progress;
    const named = progress.namedOwners.get(ENGINE_ID);
    progress.attempts += 1;
    if (progress.attempts > MAX_ATTEMPTS) return this.scheduleNext();
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
    let hasResponded = false;
    let isAccepted = false;
    this.exchanges.last += 1;
    const exchange = this.exchanges.last;
    const abandon = () => {
      if (isOver) return;
      isOver = true;
      owner.closeHandlers.delete(abandon);
      progress.silent.add(owner.id);
      progress.mayBeRunning ||= isAccepted;
      if (owner.state !== "dead") {
        fleet.runAt(
          owner,
          fleet.drawDeliveryDelay(),
          () => owner.scheduler.handleReply(port, { type: "cancel", exchange }),
        );
      }
      fleet.timeline.after(
        fleet.random.integer(0, 20),
        () => this.offer(progress),
      );
    };
    const port = createPort(entry.id, (frame) => {
      fleet.timeline.after(fleet.drawDeliveryDelay(), () => {
        if (isOver) return;
        hasResponded = true;
        if (frame.type === "accepted") {
          isAccepted = !frame.queued;
          return;
        }
        if (frame.type !== "declined" && frame.type !== "end") return;
        isOver = true;
        owner.closeHandlers.delete(abandon);
        if (frame.type === "declined") this.onDeclined(progress, owner, frame);
        else {
          this.answered += 1;
          this.scheduleNext();
        }
      });
    });
    if (owner.state === "dead") return abandon();
    owner.closeHandlers.add(abandon);
    const offer = buildOffer({
      exchange,
      requestId: progress.id,
      mayQueue: fleet.random.fraction() < 0.5,
      avoids: [...progress.silent],
      resumes: progress.mayBeRunning,
    });
    fleet.runAt(
      owner,
      fleet.drawDeliveryDelay(),
      () => owner.scheduler.handleOffer(port, offer),
    );
    fleet.timeline.after(ACCEPT_TIMEOUT_MS, () => {
      if (!hasResponded) abandon();
    });
  }

  private onDeclined(
    progress: ChatRequest,
    owner: VirtualRouter,
    { reason, owner: other }: FrameOf<"declined">,
  ): void {
    if (other !== "") recordRedirect(progress, ENGINE_ID, other);
    if (reason === "stale") progress.silent.add(owner.id);
    if (reason === "moved" || reason === "stale") this.offer(progress);
    else this.scheduleNext();
  }
}
