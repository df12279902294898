import { setTimeout as delay } from "node:timers/promises";
import { Client } from "undici";
import type { Random } from "../src/random/random.ts";
import { RESPONSE_MARGIN_MS } from "./bounds.ts";
import {
  type CallerAttempt,
  KIND_RULES,
  NO_RESPONSE,
  type RequestKind,
} from "./caller_attempt.ts";
import { exchange } from "./exchange.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import { formatPrompt, type PromptSize } from "./prompt_size.ts";
import { PERMANENT_KEY } from "./soak_customers.ts";
import { locate, type SoakFleet } from "./soak_fleet.ts";

/** Kinds of request, each repeated in proportion to how often callers send it. */
const KINDS: readonly RequestKind[] = [
  "look",
  "look",
  "book",
  "book",
  "chat",
  "chat",
  "talk",
  "version",
];
/** Time for which a caller caches the located addresses, in milliseconds. */
const ADDRESS_TTL_MS = 500;
/** Share of the requests that carry the key of the newest version. */
const NEW_KEY_SHARE = 0.3;
/** Share of the requests that callers give up on. */
const GIVE_UP_SHARE = 0.06;
/** Range of the time after which a caller gives up, in milliseconds. */
const GIVE_UP_RANGE_MS = [5, 250] as const;
/** Number of chats that callers return to. */
const CHAT_COUNT = 24;
/** Maximum number of attempts to resume a stream. */
const MAX_RESUMES = 3;
/** Timeout for connecting to a gateway, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** A caller that sends one request at a time and keeps its connections open. */
export class SoakCaller {
  private readonly clients = new Map<string, Client>();
  private addresses: string[] = [];
  private locatedAt = -Infinity;
  private count = 0;

  private constructor(
    private readonly name: string,
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    private readonly reusesConnections: boolean,
  ) {}

  /** Creates a caller.
   * @param name Name of the caller and prefix of its request ids.
   * @param fleet The fleet.
   * @param random Source of randomness.
   * @param reusesConnections Whether it uses open connections until they close, rather than until the lookup no longer
   * returns the gateway. */
  static create(
    name: string,
    fleet: SoakFleet,
    random: Random,
    reusesConnections: boolean,
  ): SoakCaller {
    return new SoakCaller(name, fleet, random, reusesConnections);
  }

  /** Sends random requests until told to stop, then closes the connections.
   * @param isOver Returns whether to stop.
   * @param getPauseMs Returns the longest pause before the next request, in milliseconds. */
  async run(isOver: () => boolean, getPauseMs: () => number): Promise<void> {
    while (!isOver()) {
      await this.sendRandom();
      await delay(this.random.integer(1, getPauseMs()));
    }
    await this.close();
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    for (const client of this.clients.values()) await client.destroy();
  }

  /** Sends a request with a given name. Requests with the same kind and name share their path and body.
   * @param kind Kind of the request.
   * @param name Last path segment, and body of a request that has one. */
  async sendNamed(kind: RequestKind, name: string): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const attempt = this.buildAttempt(kind, PERMANENT_KEY, gateway);
    attempt.path = `/${kind}/${name}`;
    if (attempt.body !== "") attempt.body = name;
    await this.send(attempt, gateway, undefined);
  }

  /** Sends a chat whose prompt has a given part, and is otherwise different from all others.
   * @param part Id of the part. */
  async sendWithPart(part: string): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const attempt = this.buildAttempt("chat", PERMANENT_KEY, gateway);
    attempt.prompt = `m|900,50|c0ffee:600,${part}:250,${attempt.requestId}:50`;
    await this.send(attempt, gateway, undefined);
  }

  /** Sends one request with the permanent key, without giving up early. Returns the attempt, or undefined if no gateway
   * is known.
   * @param kind Kind of the request. */
  async sendToEnd(kind: RequestKind): Promise<CallerAttempt | undefined> {
    const gateway = await this.chooseGateway();
    if (!gateway) return undefined;
    const attempt = this.buildAttempt(kind, PERMANENT_KEY, gateway);
    await this.send(attempt, gateway, undefined);
    return attempt;
  }

  /** Sends one request of a customer without giving up early. Returns the attempt, or undefined if no gateway is known.
   * @param kind Kind of the request.
   * @param key API key of the customer.
   * @param size Size of the prompt, if the request has one. */
  async sendOf(
    kind: RequestKind,
    key: string,
    size: PromptSize,
  ): Promise<CallerAttempt | undefined> {
    const gateway = await this.chooseGateway();
    if (!gateway) return undefined;
    const attempt = this.buildAttempt(kind, key, gateway);
    if (KIND_RULES[kind].isStream) {
      const chat = this.random.integer(1, CHAT_COUNT);
      attempt.prompt = formatPrompt(size, chat, attempt.requestId);
    }
    await this.send(attempt, gateway, undefined);
    return attempt;
  }

  private async sendRandom(): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const kind = this.random.pick(KINDS);
    const hasNewKey = this.random.fraction() < NEW_KEY_SHARE;
    const key = hasNewKey ? this.fleet.newestVersion.key : PERMANENT_KEY;
    const givesUp = this.random.fraction() < GIVE_UP_SHARE;
    const giveUpMs = givesUp
      ? this.random.integer(...GIVE_UP_RANGE_MS)
      : undefined;
    const attempt = this.buildAttempt(kind, key, gateway);
    await this.send(attempt, gateway, giveUpMs);
    const isBroken = !attempt.isWhole && attempt.status === 200;
    if (kind === "chat" && isBroken) await this.resume(attempt);
  }

  /** Resumes a broken stream through newly chosen gateways, each time as a request with a new id. */
  private async resume(broken: CallerAttempt): Promise<void> {
    let last = broken;
    for (let count = 0; count < MAX_RESUMES && !last.isWhole; count++) {
      const gateway = await this.chooseGateway();
      const afterEvent = getLastEvent(last);
      if (!gateway || afterEvent === 0) return;
      last = this.buildAttempt("chat", broken.key, gateway);
      last.path = broken.path;
      last.afterEvent = afterEvent;
      last.resumes = broken.requestId;
      await this.send(last, gateway, undefined);
    }
  }

  private async chooseGateway(): Promise<GatewayProcess | undefined> {
    if (performance.now() - this.locatedAt > ADDRESS_TTL_MS) {
      this.locatedAt = performance.now();
      const located = await locate(this.random.pick(this.fleet.gateways));
      if (located.length > 0) this.addresses = located;
    }
    const advertised = this.fleet.gateways.filter((gateway) =>
      this.addresses.includes(gateway.callerAddress)
    );
    const connected = this.fleet.gateways.filter((gateway) =>
      this.clients.has(gateway.callerAddress)
    );
    const usable = this.reusesConnections
      ? [...advertised, ...connected]
      : advertised;
    return usable.length === 0 ? undefined : this.random.pick(usable);
  }

  private buildAttempt(
    kind: RequestKind,
    key: string,
    gateway: GatewayProcess,
  ): CallerAttempt {
    this.count += 1;
    const requestId = `${this.name}-${this.count}`;
    const { version } = this.fleet.newestVersion;
    const { isStream, method } = KIND_RULES[kind];
    const chat = this.random.integer(1, CHAT_COUNT);
    return {
      ...NO_RESPONSE,
      requestId,
      kind,
      path: buildPath(kind, requestId, version),
      body: method === "POST" ? `body of ${requestId}` : "",
      prompt: isStream ? formatPrompt("usual", chat, requestId) : "||",
      key,
      version: kind === "version" ? version : undefined,
      afterEvent: 0,
      resumes: undefined,
      gateway: gateway.id,
      life: gateway.program.starts,
      sentAt: performance.now(),
    };
  }

  private async send(
    attempt: CallerAttempt,
    gateway: GatewayProcess,
    giveUpMs: number | undefined,
  ): Promise<void> {
    const client = this.getClient(gateway.callerAddress);
    this.fleet.attempts.push(attempt);
    const { timeoutMs } = KIND_RULES[attempt.kind];
    const limitMs = giveUpMs ?? timeoutMs + RESPONSE_MARGIN_MS;
    const timer = setTimeout(() => {
      attempt.gaveUpAt = performance.now();
      this.closeClient(gateway.callerAddress, client);
    }, limitMs);
    try {
      await exchange(attempt, client);
    } catch {
      // The checks evaluate broken responses from what the attempt holds, so the error itself adds nothing.
      this.closeClient(gateway.callerAddress, client);
    } finally {
      clearTimeout(timer);
      attempt.endedAt = performance.now();
    }
  }

  private getClient(address: string): Client {
    const known = this.clients.get(address);
    if (known && !known.closed && !known.destroyed) return known;
    const client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    client.on("disconnect", () => this.closeClient(address, client));
    this.clients.set(address, client);
    return client;
  }

  private closeClient(address: string, client: Client): void {
    if (this.clients.get(address) === client) this.clients.delete(address);
    void client.destroy();
  }
}

function buildPath(
  kind: RequestKind,
  requestId: string,
  version: number,
): string {
  if (kind === "version") return `/version/${version}/x`;
  return kind === "look" ? `/look/${requestId}?a=1` : `/${kind}/${requestId}`;
}

/** Number of the last complete event that an attempt received; 0 if it received none. */
function getLastEvent(attempt: CallerAttempt): number {
  const completeEvents = attempt.text.split("\n\n").length - 1;
  return attempt.afterEvent + completeEvents;
}
