import { createServer, type IncomingMessage, type Server } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { pino } from "pino";
import { platformHeaderCodec } from "../../platform/header_codec.ts";
import { START } from "../../src/forward/call_admission.ts";
import { CallForwarder } from "../../src/forward/call_forwarder.ts";
import type {
  CallForwarderContext,
  CallOutcome,
  CrashAccess,
  RepeatAccess,
} from "../../src/forward/call_forwarder_context.ts";
import { CallerResponse } from "../../src/forward/caller_response.ts";
import { ResponseMemory } from "../../src/forward/response_memory.ts";
import type { RoutedCall } from "../../src/forward/routed_call.ts";
import type { Route } from "../../src/published/configuration_schema.ts";
import type { HashedPromptPart } from "../../src/upstreams/prefix_index.ts";
import { isOfOrigin } from "../../src/upstreams/is_of_origin.ts";
import { LoadCounts } from "../../src/upstreams/load_counts.ts";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { buildRoute } from "../published/build_published.ts";
import { type Behaviour, REQUEST_ID } from "./upstream_behaviours.ts";

/** The response that the caller received. */
export interface ReceivedResponse {
  status: number;
  headers: Headers;
  body: string;
  /** Whether the response was truncated. */
  isTruncated: boolean;
  outcome: CallOutcome;
}

/** Options that differ from a usual call. */
export interface ForwardCallOptions {
  /** Called once the first attempt has been started. */
  onStart?: (
    forwarder: CallForwarder,
    route: Route,
    upstreams: readonly Upstream[],
  ) => void;
  /** Called with the upstreams before the call. */
  prepare?: (upstreams: readonly Upstream[]) => void;
  /** Shared parts of the call's prompt. */
  sharedParts?: readonly HashedPromptPart[];
  /** Time after which a refused caller may retry, from the upstreams' backoffs, in milliseconds. */
  retryAfterMs?: number;
  /** Overrides for the crash access. */
  crashes?: Partial<CrashAccess>;
  /** Overrides for what repeats depend on; by default none gives way. */
  repeats?: Partial<RepeatAccess>;
  /** Checks the path to an upstream; by default at once. */
  checkPath?: CallForwarderContext["checkPath"];
  /** Limits what incomplete responses take together; by default that of a process. */
  memory?: ResponseMemory;
  /** Receives the records of where the call's stream began. */
  streams?: CallForwarderContext["streams"];
  /** Software versions of the upstreams; by default they all run the same. */
  softwareVersions?: readonly string[];
  /** Decides whether the call may be sent; by default at once. */
  admit?: CallForwarderContext["admit"];
  /** Resolves with whether another host lends a slot; until then no upstream can be chosen. By default none is needed. */
  slotLoan?: Promise<boolean>;
  /** Whether requests may be sent by the publication; by default they may. */
  isPublicationUsable?: () => boolean;
  /** Whether a request may still be sent to an upstream that was chosen for it; by default if it accepts requests. */
  maySendTo?: CallForwarderContext["maySendTo"];
}

function buildCall(
  route: Route,
  sharedParts: readonly HashedPromptPart[],
): RoutedCall {
  const rawHeaders = [
    "Host",
    "a.example",
    "X-Beechkeel-Attempt-Id",
    REQUEST_ID,
  ];
  const receivedAt = performance.now();
  return {
    requestId: REQUEST_ID,
    method: "POST",
    path: "/a/b",
    headers: platformHeaderCodec.readCaller(rawHeaders),
    body: Buffer.from("body"),
    fingerprint: 1,
    route,
    service: "s",
    customer: "c",
    urgency: 0,
    sharedParts,
    receivedAt,
    callerDeadlineAt: receivedAt + 10_000,
  };
}

async function listen(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Forwards one call to upstreams with the given behaviours, tried in this order. */
export async function forwardCall(
  behaviours: readonly Behaviour[],
  changes: Partial<Route> = {},
  options: ForwardCallOptions = {},
): Promise<ReceivedResponse & { requests: IncomingMessage[] }> {
  const requests: IncomingMessage[] = [];
  const servers = behaviours.map((behaviour) =>
    createServer((request, response) => {
      requests.push(request);
      request.resume();
      behaviour(request, response);
    })
  );
  const upstreams: Upstream[] = [];
  for (const server of servers) {
    const index = upstreams.length;
    const softwareVersion = options.softwareVersions?.[index] ?? "v1";
    upstreams.push(
      createUpstream(index, await listen(server), softwareVersion),
    );
  }
  options.prepare?.(upstreams);
  const call = buildCall(buildRoute(changes), options.sharedParts ?? []);
  const received = await sendCall(upstreams, call, options);
  for (const upstream of upstreams) upstream.close();
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  return { ...received, requests };
}

function createUpstream(
  index: number,
  port: number,
  softwareVersion: string,
): Upstream {
  return Upstream.create({
    id: `u-${index}`,
    service: "s",
    address: `127.0.0.1:${port}`,
    hall: "h",
    slots: 4,
    arrival: index,
    isLeaving: false,
    softwareVersion,
  });
}

/** Creates a promise together with the function that resolves it. */
export function createDeferred<T>() {
  let resolve: (value: T) => void = () => undefined;
  const promise = new Promise<T>((done) => resolve = done);
  return { promise, resolve };
}

async function sendCall(
  upstreams: readonly Upstream[],
  call: RoutedCall,
  {
    onStart,
    retryAfterMs,
    crashes,
    repeats,
    checkPath,
    slotLoan,
    admit,
    memory,
    streams,
    isPublicationUsable,
    maySendTo,
  }: ForwardCallOptions,
): Promise<ReceivedResponse> {
  const ended = createDeferred<CallOutcome>();
  const loads = LoadCounts.create();
  let hasSlot = slotLoan === undefined;
  void slotLoan?.then((isGranted) => hasSlot = isGranted);
  const callerFacingServer = createServer((_request, response) => {
    const callerResponse = CallerResponse.create(response, () => false);
    const forwarder = CallForwarder.create(call, callerResponse, {
      logger: pino({ level: "silent" }),
      codec: platformHeaderCodec,
      choose: (_call, { triedIds, origin }) => {
        if (!hasSlot || isPublicationUsable?.() === false) return undefined;
        const upstream = upstreams.find((one) =>
          !triedIds.has(one.id) && isOfOrigin(one, origin)
        );
        return upstream &&
          { upstream, basis: "least_cost", bound: Infinity };
      },
      admit: admit ?? (() => START),
      getRetryAfterMs: () => retryAfterMs,
      placePrompt: () => undefined,
      getPublicationAgeMs: () => 0,
      isPublicationUsable: isPublicationUsable ?? (() => true),
      maySendTo: maySendTo ??
        ((upstream) => upstream.acceptsRequests(performance.now())),
      recordSend: ({ upstream }) =>
        loads.getSnapshot(upstream, performance.now()),
      recordCompletion: () => undefined,
      recordFirstEvent: () => undefined,
      recordEnd: () => undefined,
      spendRetry: () => ({
        isAllowed: true,
        spent: 0,
        allowed: 1,
        requests: 1,
        hosts: 1,
        coverage: 1,
      }),
      repeats: {
        decide: () => undefined,
        recordFirstResponse: () => undefined,
        recordRefusal: () => undefined,
        recordSecondRun: () => undefined,
        ...repeats,
      },
      recordHealth: () => undefined,
      checkPath: checkPath ?? (() => Promise.resolve(false)),
      isRunning: () => Promise.resolve(true),
      isUnreachable: () => false,
      borrowSlot: () => hasSlot ? undefined : slotLoan,
      recordSlowdown: () => undefined,
      recordConnectionResponse: () => undefined,
      trustsIdleConnections: () => false,
      recordDeclineLimit: () => undefined,
      recordDecline: () => undefined,
      recordMoved: () => undefined,
      canContinue: (origin) =>
        upstreams.some((upstream) => isOfOrigin(upstream, origin)),
      memory: memory ?? ResponseMemory.create(),
      streams: streams ??
        { announce: () => undefined, release: () => undefined },
      crashes: {
        mayRetry: () => true,
        getRefusalKind: () => "crashes_upstreams",
        recordInterruption: () => undefined,
        recordBegin: () => undefined,
        recordCompletion: () => undefined,
        ...crashes,
      },
      onEnd: (_forwarder, outcome) => ended.resolve(outcome),
    });
    onStart?.(forwarder, call.route, upstreams);
  });
  const port = await listen(callerFacingServer);
  const response = await fetch(`http://127.0.0.1:${port}/`, {
    redirect: "manual",
  });
  let isTruncated = false;
  const body = await response.text().catch(() => {
    isTruncated = true;
    return "";
  });
  const outcome = await ended.promise;
  callerFacingServer.close();
  callerFacingServer.closeAllConnections();
  const { status, headers } = response;
  return { status, headers, body, isTruncated, outcome };
}
