import { setTimeout as delay } from "node:timers/promises";
import { Client } from "undici";
import type { Random } from "../src/random/random.ts";
import {
  type CallerAttempt,
  KIND_RULES,
  NO_ANSWER,
  type RequestKind,
} from "./caller_attempt.ts";
import type { GatewayProcess } from "./gateway_process.ts";
import { HOST, LASTING_KEY, locate, type SoakFleet } from "./soak_fleet.ts";

/** Kinds in the proportions in which callers send them. */
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
/** Time for which a caller keeps an answer with addresses, in milliseconds. */
const KEEP_ADDRESSES_MS = 500;
/** Part of the requests that carry the key of the newest version. */
const NEW_KEY_SHARE = 0.3;
/** Part of the requests that callers give up. */
const GIVE_UP_SHARE = 0.06;
/** Least and most time after which a caller gives up, in milliseconds. */
const GIVE_UP_MS = [5, 250] as const;
/** Most time that a caller waits beyond a route's time-out, in milliseconds. */
const PATIENCE_MS = 4_000;
/** Chats that callers return to. */
const CHATS = 24;
/** Time for a connection to a gateway, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** One caller: sends one request after the other and keeps its connections. */
export class SoakCaller {
  private readonly clients = new Map<string, Client>();
  private addresses: string[] = [];
  private askedAt = -Infinity;
  private count = 0;

  private constructor(
    private readonly name: string,
    private readonly fleet: SoakFleet,
    private readonly random: Random,
    private readonly isStubborn: boolean,
  ) {}

  /** Creates a caller.
   * @param name Its name, the beginning of its requests' ids.
   * @param fleet The fleet.
   * @param random Source of its requests.
   * @param isStubborn Whether it uses open connections until the process is gone, rather than until it is no longer
   * named. */
  static create(
    name: string,
    fleet: SoakFleet,
    random: Random,
    isStubborn: boolean,
  ): SoakCaller {
    return new SoakCaller(name, fleet, random, isStubborn);
  }

  /** Sends requests until it is told to stop.
   * @param isOver Whether to stop.
   * @param getPauseMs Longest pause between two requests, in milliseconds. */
  async run(isOver: () => boolean, getPauseMs: () => number): Promise<void> {
    while (!isOver()) {
      await this.sendOne();
      await delay(this.random.integer(1, getPauseMs()));
    }
    await this.close();
  }

  /** Closes its connections. */
  async close(): Promise<void> {
    for (const client of this.clients.values()) await client.destroy();
  }

  /** Sends a request that is the same for each call with the same name, but for its id.
   * @param kind The kind.
   * @param name The last part of its path, and its body. */
  async sendAs(kind: RequestKind, name: string): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const attempt = this.build(kind, LASTING_KEY, gateway);
    attempt.path = `/${kind}/${name}`;
    if (attempt.body !== "") attempt.body = name;
    await this.send(attempt, gateway, undefined);
  }

  /** Sends one request of a kind with the key that lasts, and does not give it up; returns the attempt.
   * @param kind The kind. */
  async sendCalmly(kind: RequestKind): Promise<CallerAttempt | undefined> {
    const gateway = await this.chooseGateway();
    if (!gateway) return undefined;
    const attempt = this.build(kind, LASTING_KEY, gateway);
    await this.send(attempt, gateway, undefined);
    return attempt;
  }

  private async sendOne(): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const kind = this.random.pick(KINDS);
    const hasNewKey = this.random.fraction() < NEW_KEY_SHARE;
    const key = hasNewKey ? this.fleet.newest.key : LASTING_KEY;
    const givesUp = this.random.fraction() < GIVE_UP_SHARE;
    const giveUpMs = givesUp ? this.random.integer(...GIVE_UP_MS) : undefined;
    const attempt = this.build(kind, key, gateway);
    await this.send(attempt, gateway, giveUpMs);
    const resumes = kind === "chat" && !attempt.isWhole && !givesUp;
    if (resumes && attempt.status === 200) await this.resume(attempt);
  }

  /** Goes on with a broken stream at another gateway, as a request with an id of its own. */
  private async resume(broken: CallerAttempt): Promise<void> {
    const gateway = await this.chooseGateway();
    if (!gateway) return;
    const attempt = this.build("chat", broken.key, gateway);
    attempt.path = broken.path;
    attempt.afterEvent = getLastEvent(broken);
    if (attempt.afterEvent > 0) await this.send(attempt, gateway, undefined);
  }

  private async chooseGateway(): Promise<GatewayProcess | undefined> {
    if (performance.now() - this.askedAt > KEEP_ADDRESSES_MS) {
      this.askedAt = performance.now();
      const asked = await locate(this.random.pick(this.fleet.gateways));
      if (asked.length > 0) this.addresses = asked;
    }
    const named = this.fleet.gateways.filter((gateway) =>
      this.addresses.includes(gateway.callerAddress)
    );
    const open = this.fleet.gateways.filter((gateway) =>
      this.clients.has(gateway.callerAddress)
    );
    const usable = this.isStubborn ? [...named, ...open] : named;
    return usable.length === 0 ? undefined : this.random.pick(usable);
  }

  private build(
    kind: RequestKind,
    key: string,
    gateway: GatewayProcess,
  ): CallerAttempt {
    this.count += 1;
    const requestId = `${this.name}-${this.count}`;
    const { version } = this.fleet.newest;
    const { isStream, method } = KIND_RULES[kind];
    const chat = this.random.integer(1, CHATS);
    return {
      ...NO_ANSWER,
      requestId,
      kind,
      path: buildPath(kind, requestId, version),
      body: method === "POST" ? `body of ${requestId}` : "",
      prompt: isStream ? `m|900,50|c0ffee:600,${chat}a:250` : "||",
      key,
      version: kind === "version" ? version : undefined,
      afterEvent: 0,
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
    const patienceMs = giveUpMs ?? timeoutMs + PATIENCE_MS;
    const timer = setTimeout(() => {
      attempt.gaveUpAt = performance.now();
      this.drop(gateway.callerAddress, client);
    }, patienceMs);
    try {
      await exchange(attempt, client);
    } catch {
      // A broken answer is what the judges look at; nothing more is known of it than the attempt holds.
      this.drop(gateway.callerAddress, client);
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
    client.on("disconnect", () => this.drop(address, client));
    this.clients.set(address, client);
    return client;
  }

  private drop(address: string, client: Client): void {
    if (this.clients.get(address) === client) this.clients.delete(address);
    void client.destroy();
  }
}

/** Sends a request and takes its answer into the attempt, as far as it comes. */
async function exchange(attempt: CallerAttempt, client: Client): Promise<void> {
  const { method, timeoutMs } = KIND_RULES[attempt.kind];
  const answer = await client.request({
    method,
    path: attempt.path,
    headers: buildHeaders(attempt, timeoutMs),
    body: attempt.body === "" ? null : attempt.body,
  });
  attempt.status = answer.statusCode;
  const seal = answer.headers["x-beechkeel-response-seal"];
  attempt.seal = seal === undefined ? undefined : String(seal);
  for await (const part of answer.body) attempt.text += String(part);
  attempt.isWhole = true;
}

function buildPath(
  kind: RequestKind,
  requestId: string,
  version: number,
): string {
  if (kind === "version") return `/version/${version}/x`;
  return kind === "look" ? `/look/${requestId}?a=1` : `/${kind}/${requestId}`;
}

/** Number of the last whole event that an attempt brought, 0 where it brought none. */
function getLastEvent(attempt: CallerAttempt): number {
  const whole = attempt.text.split("\n\n").length - 1;
  return whole === 0 ? 0 : attempt.afterEvent + whole;
}

function buildHeaders(
  attempt: CallerAttempt,
  timeoutMs: number,
): Record<string, string> {
  const headers: Record<string, string> = {
    host: HOST,
    "x-beechkeel-attempt-id": attempt.requestId,
    "x-beechkeel-deadline-ms": String(timeoutMs),
    "x-api-key": attempt.key,
    "x-beechkeel-tenant": "forged",
    "x-beechkeel-hold": "forged",
  };
  if (attempt.afterEvent > 0) {
    headers["last-event-id"] = String(attempt.afterEvent);
  }
  const [model, tokens, parts] = attempt.prompt.split("|");
  if (model) {
    headers["x-beechkeel-model"] = model;
    headers["x-beechkeel-token-usage"] = tokens!;
    headers["x-beechkeel-prefix-hash"] = parts!;
  }
  return headers;
}
