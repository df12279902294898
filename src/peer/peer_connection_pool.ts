import type { FleetView } from "../membership/fleet_view.ts";
import type { PeerAuthenticator } from "./peer_authenticator.ts";
import type { FramePort } from "./frame_port.ts";
import type { Frame, FrameOf } from "./frame_schema.ts";
import { LoopbackFramePort } from "./loopback_frame_port.ts";
import { PeerClient } from "./peer_client.ts";

/** Dependencies of the connection pool. */
export interface PeerConnectionPoolOptions {
  ownId: string;
  authenticator: PeerAuthenticator;
  connectTimeoutMs: number;
  getView: () => FleetView;
  /** Accepts the server end of the loopback connection. */
  acceptLoopback: (port: FramePort) => void;
  /** Called for each router that could not be reached or whose connection was closed. */
  onUnreachable: (routerId: string) => void;
}

/** State of a streamed response after a frame of it: more frames follow, it is complete, or the frame is unexpected. */
export type StreamStep = "more" | "all" | "wrong";

/** Pool of one connection per router, each opened on first use and kept until it is closed. */
export class PeerConnectionPool {
  private readonly clients = new Map<string, Promise<PeerClient>>();
  private isClosed = false;

  private constructor(private readonly options: PeerConnectionPoolOptions) {}

  /** Creates a pool without connections. */
  static create(options: PeerConnectionPoolOptions): PeerConnectionPool {
    return new PeerConnectionPool(options);
  }

  /** Returns the connection to a router; undefined if the router cannot be reached.
   * @param routerId Id of the router, which may be this router itself. */
  async getClient(routerId: string): Promise<PeerClient | undefined> {
    const client = this.clients.get(routerId) ?? this.openConnection(routerId);
    try {
      return await client;
    } catch {
      return undefined;
    }
  }

  /** Sends a frame and waits for one response frame.
   * @param routerId Id of the router to ask.
   * @param buildFrame Builds the frame for an exchange number.
   * @param responseType Expected type of the response frame.
   * @param timeoutMs Time limit for the response.
   * @returns The response; undefined if there was none in time or it has another type. */
  async request<T extends Frame["type"]>(
    routerId: string,
    buildFrame: (exchange: number) => Frame,
    responseType: T,
    timeoutMs: number,
  ): Promise<FrameOf<T> | undefined> {
    const client = await this.getClient(routerId);
    if (!client) return undefined;
    return await new Promise((resolve) => {
      const finish = (frame: Frame | undefined) => {
        clearTimeout(timer);
        client.closeExchange(exchange);
        resolve(frame?.type === responseType ? frame as FrameOf<T> : undefined);
      };
      const exchange = client.openExchange(finish);
      const timer = setTimeout(() => finish(undefined), timeoutMs);
      client.send(buildFrame(exchange));
    });
  }

  /** Sends a frame and receives response frames until the response is complete.
   * @param routerId Id of the router to ask.
   * @param buildFrame Builds the frame for an exchange number.
   * @param onFrame Handles each response frame and returns the state of the response after it.
   * @param timeoutMs Time limit for the complete response.
   * @returns Whether the response was complete in time. */
  async requestStream(
    routerId: string,
    buildFrame: (exchange: number) => Frame,
    onFrame: (frame: Frame) => StreamStep,
    timeoutMs: number,
  ): Promise<boolean> {
    const client = await this.getClient(routerId);
    if (!client) return false;
    return await new Promise((resolve) => {
      const finish = (isComplete: boolean) => {
        clearTimeout(timer);
        client.closeExchange(exchange);
        resolve(isComplete);
      };
      const exchange = client.openExchange((frame) => {
        const state = frame ? onFrame(frame) : "wrong";
        if (state !== "more") finish(state === "all");
      });
      const timer = setTimeout(() => finish(false), timeoutMs);
      client.send(buildFrame(exchange));
    });
  }

  /** Closes the connections to routers that the view marks as `dead`.
   * @param view The current view of the fleet. */
  closeLostConnections(view: FleetView): void {
    for (const router of view.routers) {
      if (router.dead) {
        this.clients.get(router.host.id)?.then(
          (client) => client.close(),
          () => undefined,
        );
      }
    }
  }

  /** Closes all connections and opens no new ones. */
  async close(): Promise<void> {
    this.isClosed = true;
    const clients = await Promise.allSettled(this.clients.values());
    for (const client of clients) {
      if (client.status === "fulfilled") client.value.close();
    }
  }

  private openConnection(routerId: string): Promise<PeerClient> {
    const client = this.connect(routerId);
    this.clients.set(routerId, client);
    client.catch(() => this.handleDisconnect(routerId, client));
    return client;
  }

  private async connect(routerId: string): Promise<PeerClient> {
    if (this.isClosed) throw new Error("peer connection pool is closed");
    if (routerId === this.options.ownId) return this.connectLoopback();
    const router = this.options.getView().getRouter(routerId);
    if (!router?.host.peerPort) throw new Error(`${routerId} is not listed`);
    const address = {
      address: router.host.address,
      port: router.host.peerPort,
    };
    const { ownId, authenticator, connectTimeoutMs } = this.options;
    const onClosed = () =>
      this.handleDisconnect(routerId, this.clients.get(routerId));
    return await PeerClient.connect(
      ownId,
      routerId,
      address,
      authenticator,
      connectTimeoutMs,
      onClosed,
    );
  }

  private connectLoopback(): PeerClient {
    const [clientEnd, serverEnd] = LoopbackFramePort.createPair(
      this.options.ownId,
    );
    this.options.acceptLoopback(serverEnd);
    return PeerClient.create(clientEnd, () => undefined);
  }

  private handleDisconnect(
    routerId: string,
    client: Promise<PeerClient> | undefined,
  ): void {
    if (this.clients.get(routerId) === client) this.clients.delete(routerId);
    if (!this.isClosed) this.options.onUnreachable(routerId);
  }
}
