import type { FleetView } from "../membership/fleet_view.ts";
import type { FleetSecret } from "./fleet_secret.ts";
import type { FramePort } from "./frame_port.ts";
import type { Frame, FrameOf } from "./frame_schema.ts";
import { LocalPort } from "./local_port.ts";
import { PeerClient } from "./peer_client.ts";

/** What the directory needs of the rest of the router. */
export interface PeerDirectoryOptions {
  ownId: string;
  secret: FleetSecret;
  connectTimeoutMs: number;
  getView: () => FleetView;
  /** Takes the other end of the connection to this router itself. */
  acceptLocal: (port: FramePort) => void;
  /** Told of each router that could not be reached or whose connection ended. */
  onUnreachable: (routerId: string) => void;
}

/** What follows from a frame of an answer made of many. */
export type GatherStep = "more" | "all" | "wrong";

/** The connections to other routers, made when first needed and kept. */
export class PeerDirectory {
  private readonly clients = new Map<string, Promise<PeerClient>>();
  private isClosed = false;

  private constructor(private readonly options: PeerDirectoryOptions) {}

  /** Creates a directory without connections.
   * @param options What it needs. */
  static create(options: PeerDirectoryOptions): PeerDirectory {
    return new PeerDirectory(options);
  }

  /** Returns the connection to a router, or nothing where it cannot be reached.
   * @param routerId The router; this one itself included. */
  async getClient(routerId: string): Promise<PeerClient | undefined> {
    const known = this.clients.get(routerId) ?? this.open(routerId);
    try {
      return await known;
    } catch {
      return undefined;
    }
  }

  /** Sends one frame and waits for one in return.
   * @param routerId The router to ask.
   * @param build Builds the frame for an exchange.
   * @param expected Type of the frame expected in return.
   * @param timeoutMs Time to wait.
   * @returns The answer, or nothing where none came. */
  async ask<T extends Frame["type"]>(
    routerId: string,
    build: (exchange: number) => Frame,
    expected: T,
    timeoutMs: number,
  ): Promise<FrameOf<T> | undefined> {
    const client = await this.getClient(routerId);
    if (!client) return undefined;
    return await new Promise((resolve) => {
      const finish = (frame: Frame | undefined) => {
        clearTimeout(timer);
        client.closeExchange(exchange);
        resolve(frame?.type === expected ? frame as FrameOf<T> : undefined);
      };
      const exchange = client.openExchange(finish);
      const timer = setTimeout(() => finish(undefined), timeoutMs);
      client.send(build(exchange));
    });
  }

  /** Sends one frame and takes frames in return until they end.
   * @param routerId The router to ask.
   * @param build Builds the frame for an exchange.
   * @param take Takes each frame and says whether more follow, all came, or something was wrong.
   * @param timeoutMs Time for all of it.
   * @returns Whether all came. */
  async gather(
    routerId: string,
    build: (exchange: number) => Frame,
    take: (frame: Frame) => GatherStep,
    timeoutMs: number,
  ): Promise<boolean> {
    const client = await this.getClient(routerId);
    if (!client) return false;
    return await new Promise((resolve) => {
      const finish = (hasAll: boolean) => {
        clearTimeout(timer);
        client.closeExchange(exchange);
        resolve(hasAll);
      };
      const exchange = client.openExchange((frame) => {
        const step = frame ? take(frame) : "wrong";
        if (step !== "more") finish(step === "all");
      });
      const timer = setTimeout(() => finish(false), timeoutMs);
      client.send(build(exchange));
    });
  }

  /** Ends the connections to routers that count as lost.
   * @param view The present view of the fleet. */
  dropLost(view: FleetView): void {
    for (const router of view.routers) {
      if (router.lost) {
        this.clients.get(router.host.id)?.then(
          (client) => client.close(),
          () => undefined,
        );
      }
    }
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    this.isClosed = true;
    const clients = await Promise.allSettled(this.clients.values());
    for (const client of clients) {
      if (client.status === "fulfilled") client.value.close();
    }
  }

  private open(routerId: string): Promise<PeerClient> {
    const opening = this.connect(routerId);
    this.clients.set(routerId, opening);
    opening.catch(() => this.forget(routerId, opening));
    return opening;
  }

  private async connect(routerId: string): Promise<PeerClient> {
    if (this.isClosed) throw new Error("the directory is closed");
    if (routerId === this.options.ownId) return this.connectLocally();
    const router = this.options.getView().getRouter(routerId);
    if (!router?.host.peerPort) throw new Error(`${routerId} is not listed`);
    const address = {
      address: router.host.address,
      port: router.host.peerPort,
    };
    const { ownId, secret, connectTimeoutMs } = this.options;
    const onClosed = () => this.forget(routerId, this.clients.get(routerId));
    return await PeerClient.connect(
      ownId,
      routerId,
      address,
      secret,
      connectTimeoutMs,
      onClosed,
    );
  }

  private connectLocally(): PeerClient {
    const [near, far] = LocalPort.createPair(this.options.ownId);
    this.options.acceptLocal(far);
    return PeerClient.create(near, () => undefined);
  }

  private forget(
    routerId: string,
    opening: Promise<PeerClient> | undefined,
  ): void {
    if (this.clients.get(routerId) === opening) this.clients.delete(routerId);
    if (!this.isClosed) this.options.onUnreachable(routerId);
  }
}
