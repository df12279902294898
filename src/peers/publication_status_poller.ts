import {
  type CancelTimer,
  processTimeline,
  type Timeline,
} from "../clock/timeline.ts";
import type { DatagramPort } from "./datagram_socket.ts";
import type { PublicationStatus } from "./publication_status.ts";

/** Time between two requests, in milliseconds. The publication appears older by up to as much; the age at which further
 * hosts start to watch the platform allows for that. */
export const POLL_INTERVAL_MS = 600;
/** Time between two requests while the copy is late, in milliseconds. */
const LATE_POLL_INTERVAL_MS = 200;

/** Dependencies of the poller. */
export interface PublicationStatusPollerOptions {
  socket: DatagramPort;
  /** Gossip addresses of the hosts to poll, in turn; empty where this host does not need to poll. */
  getSources: () => readonly string[];
  /** Whether this host's copy is older than it is while it is updated in time. */
  isLate?: () => boolean;
  /** Returns the status of this host's copy of the publication. */
  getStatus: () => PublicationStatus;
  /** Called with the status that a host sent in response to a request of time `requestedAt`. */
  onStatus: (
    sender: string,
    status: PublicationStatus,
    requestedAt: number,
  ) => void;
  /** Defaults to the timeline of the process. */
  timeline?: Timeline;
}

/** Polls other hosts for the status of their copy of the publication, and responds to their requests. Ages are counted
 * from the time of the request by the requester's clock, so a delayed datagram never makes a copy look newer than it
 * is. */
export class PublicationStatusPoller {
  private readonly timeline: Timeline;
  private readonly stopPolling: CancelTimer;
  private pollCount = 0;
  private polledAllAt = -Infinity;
  private stopLatePoll: CancelTimer | undefined;

  private constructor(
    private readonly options: PublicationStatusPollerOptions,
  ) {
    const { socket, getStatus, timeline = processTimeline } = options;
    this.timeline = timeline;
    socket.handle("publication_status_request", ({ requestedAt }, sender) => {
      socket.send(sender, {
        type: "publication_status_response",
        requestedAt,
        status: getStatus(),
      });
    });
    socket.handle("publication_status_response", (response, sender) => {
      if (response.requestedAt > timeline.read()) return;
      options.onStatus(sender, response.status, response.requestedAt);
    });
    this.stopPolling = timeline.every(POLL_INTERVAL_MS, () => this.poll());
  }

  /** Starts polling and responding.
   * @param options Its dependencies. */
  static create(
    options: PublicationStatusPollerOptions,
  ): PublicationStatusPoller {
    return new PublicationStatusPoller(options);
  }

  /** Stops polling. */
  close(): void {
    this.stopPolling();
    this.stopLatePoll?.();
  }

  /** Polls all sources at once, unless that was done just now. */
  pollAll(): void {
    const now = this.timeline.read();
    if (now - this.polledAllAt < LATE_POLL_INTERVAL_MS) return;
    this.polledAllAt = now;
    for (const address of this.options.getSources()) this.request(address);
  }

  private poll(): void {
    if (this.options.isLate?.()) this.scheduleLatePoll();
    const sources = this.options.getSources();
    if (sources.length === 0) return;
    this.pollCount += 1;
    this.request(sources[this.pollCount % sources.length]!);
  }

  private scheduleLatePoll(): void {
    this.stopLatePoll ??= this.timeline.after(LATE_POLL_INTERVAL_MS, () => {
      this.stopLatePoll = undefined;
      this.poll();
    });
  }

  private request(address: string): void {
    const requestedAt = this.timeline.read();
    this.options.socket.send(address, {
      type: "publication_status_request",
      requestedAt,
    });
  }
}
