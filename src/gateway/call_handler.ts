import { readClock } from "../clock/clock.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "ts-results-es";
import type { CrashGuard } from "../crashes/crash_guard.ts";
import type { RequestHold } from "../crashes/request_hold.ts";
import { Failure } from "../errors/failure.ts";
import { admitCall, type AdmittedCall } from "../forward/admit_call.ts";
import { buildRoutedCall } from "../forward/build_routed_call.ts";
import { CallForwarder } from "../forward/call_forwarder.ts";
import type {
  CallOutcome,
  StreamAnnouncer,
  UpstreamAccess,
} from "../forward/call_forwarder_context.ts";
import { CallerResponse } from "../forward/caller_response.ts";
import { ResponseMemory } from "../forward/response_memory.ts";
import type { CallerHeaders, HeaderCodec } from "../forward/caller_headers.ts";
import { type RoutedCall, toTrackedRequest } from "../forward/routed_call.ts";
import { BodyReader } from "../http/body_reader.ts";
import { checkHeaderSize } from "../http/check_header_size.ts";
import { discardArrivedBody } from "../http/discard_arrived_body.ts";
import { pollSockets } from "../http/poll_sockets.ts";
import type { RequestReceipt } from "../http/request_receipt.ts";
import type { Logger } from "../logging/logger.ts";
import type { CallerLimits, Route } from "../published/configuration_schema.ts";
import type { PublicationGate } from "../published/publication_gate.ts";
import type { RouteTable } from "../published/route_table.ts";
import type { ResumedStream } from "../streams/stream_record.ts";
import type { HashedPromptPart } from "../upstreams/prefix_index.ts";
import type { Upstream } from "../upstreams/upstream.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { StopAdmission } from "./stop_admission.ts";
import type { StreamResumer } from "./stream_resumer.ts";

/** Maximum time that a request waits for the first configuration after a start. Longer than a first read of the
 * platform takes, and less than a quarter of most routes' latency objectives. */
const INITIAL_CONFIGURATION_TIMEOUT_MS = 250;
/** Maximum time that a request waits for an outdated publication to be updated, in milliseconds; several times the time
 * that asking another host takes. */
const UPDATE_TIMEOUT_MS = 250;

/** Time within which the body of a request must arrive, in milliseconds: equal to the timeout of the largest routes. */
const BODY_TIMEOUT_MS = 20_000;

/** Limits that apply until the first configuration is received. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Dependencies and callbacks of a {@link CallHandler}. */
export interface CallHandlerOptions {
  logger: Logger;
  metrics: GatewayMetrics;
  codec: HeaderCodec;
  getRoutes: () => RouteTable | undefined;
  /** Resolves when the first configuration is received. */
  initialRoutes: Promise<void>;
  /** Decides whether requests may be routed by the known publication. */
  gate: PublicationGate;
  /** Whether the known keys are recent enough to be accepted. */
  mayAcceptKeys: () => boolean;
  /** Age of the known publication in milliseconds, for the log. */
  getPublicationAgeMs: () => number;
  /** Whether callers' connections are closed after their responses. */
  isLeaving: () => boolean;
  /** Whether the host is stopping. */
  isStopping: () => boolean;
  stopAdmission: StopAdmission;
  /** Called once for each admitted request, before its first attempt. */
  onRequestAdmitted: (service: string) => void;
  /** Looks up which engines have a prompt cached, by its shared parts; returns undefined if no other host is asked. */
  lookUpPrompt: (
    sharedParts: readonly HashedPromptPart[],
  ) => Promise<void> | undefined;
  upstreamAccess: UpstreamAccess;
  /** Tells other hosts where the streams of this one began. */
  streams: StreamAnnouncer;
  resumer: StreamResumer;
  guard: CrashGuard;
}

/** A caller's request, its response, and what becomes known while its body arrives. */
interface CallerExchange {
  request: IncomingMessage;
  response: ServerResponse;
  receipt: RequestReceipt;
}

/** Admits callers' requests, reads their bodies and forwards them to upstreams. */
export class CallHandler {
  private readonly forwarders = new Set<CallForwarder>();
  private readonly memory = ResponseMemory.create();
  /** Receipts of the requests that are being admitted. */
  private readonly pendingReceipts = new Set<RequestReceipt>();

  private constructor(private readonly options: CallHandlerOptions) {}

  /** Creates a handler.
   * @param options Its dependencies and callbacks. */
  static create(options: CallHandlerOptions): CallHandler {
    return new CallHandler(options);
  }

  /** Number of requests that have not been answered. */
  get openCalls(): number {
    return this.forwarders.size + this.pendingReceipts.size;
  }

  /** Handles a request of a caller.
   * @param request The request.
   * @param response The response to it.
   * @param receipt Tells that the rest of the body can't be received. */
  handle(
    request: IncomingMessage,
    response: ServerResponse,
    receipt: RequestReceipt,
  ): void {
    const receivedAt = readClock();
    const headers = this.options.codec.readCaller(request.rawHeaders);
    const callerResponse = CallerResponse.create(
      response,
      this.options.isLeaving,
    );
    this.pendingReceipts.add(receipt);
    void this.admitAndForward(
      { request, response, receipt },
      headers,
      callerResponse,
      receivedAt,
    )
      .finally(
        () => this.pendingReceipts.delete(receipt),
      );
  }

  /** Applies a configuration to the calls in progress.
   * @param routes The current routes. */
  applyRoutes(routes: RouteTable): void {
    for (const forwarder of this.forwarders) {
      const route = routes.getRouteByName(forwarder.call.route.name);
      // A call that was accepted because of its deadline must not get a later one.
      if (this.options.isStopping() && isLonger(route, forwarder.call)) {
        continue;
      }
      forwarder.applyRoute(route);
    }
  }

  /** Refuses the unanswered calls whose requests are held from now on because they crash upstreams.
   * @param hold The hold. */
  refuseHeldCalls({ kind, concerns }: RequestHold): void {
    for (const each of [...this.forwarders]) {
      if (concerns(toTrackedRequest(each.call))) each.refuseAsHeld(kind);
    }
  }

  /** Fails the attempts in progress at an instance of an upstream that no longer runs.
   * @param upstream The instance before the restart.
   * @param startedAt Unix milliseconds of the restart; undefined if they are not known. */
  failAttemptsOn(upstream: Upstream, startedAt: number | undefined): void {
    for (const each of [...this.forwarders]) {
      each.failAttemptAt(upstream, startedAt);
    }
  }

  /** Sends the requests that are in progress at an upstream which no host reaches any more elsewhere.
   * @param upstream The upstream. */
  leaveLostUpstream(upstream: Upstream): void {
    for (const each of [...this.forwarders]) each.leaveLostUpstream(upstream);
  }

  /** Ends the calls that the stop of the host has not let finish.
   * @param retryAfterMs Time after which their callers may retry, in milliseconds. */
  endForStop(retryAfterMs: number): void {
    const { stopAdmission } = this.options;
    for (const each of [...this.forwarders]) {
      const progress = each.describeProgress();
      const end = each.endForStop(retryAfterMs);
      stopAdmission.recordUnfinished(each.call, progress, end);
    }
    for (const receipt of [...this.pendingReceipts]) {
      receipt.fail(
        Failure.create("draining", "the host has stopped", retryAfterMs),
      );
    }
  }

  /** Returns the median pace of a service's streams relative to their usual one; undefined if none is known.
   * @param service Name of the service. */
  getPaceRatio(service: string): number | undefined {
    const ratios: number[] = [];
    for (const { call, paceRatio } of this.forwarders) {
      if (call.service !== service || paceRatio === undefined) continue;
      ratios.push(paceRatio);
    }
    return ratios.sort((a, b) => a - b)[Math.floor(ratios.length / 2)];
  }

  private async admitAndForward(
    { request, response, receipt }: CallerExchange,
    headers: CallerHeaders,
    callerResponse: CallerResponse,
    receivedAt: number,
  ): Promise<void> {
    try {
      await this.waitForInitialRoutes();
      await this.waitForUpdate();
      const limits = this.options.getRoutes()?.limits ?? DEFAULT_LIMITS;
      checkHeaderSize(request, limits.maxHeaderBytes);
      const admitted = this.admit(request, headers, receivedAt);
      const lookup = this.options.lookUpPrompt(admitted.sharedParts);
      const resumed = this.options.resumer.find(admitted);
      const body = await BodyReader.read(request, receipt, {
        maxBytes: limits.maxBodyBytes,
        timeoutMs: BODY_TIMEOUT_MS,
      });
      await Promise.all([lookup, resumed, pollSockets()]);
      if (hasCallerGone(request, response)) {
        return this.abandon(headers, response);
      }
      const call = buildRoutedCall(
        admitted,
        body,
        unwrapResumed(await resumed),
      );
      this.assertEndsBeforeStop(call);
      this.start(call, callerResponse, response);
    } catch (thrown) {
      if (request.destroyed && !request.complete) return;
      await discardArrivedBody(request);
      this.refuse(Failure.from(thrown), headers, callerResponse);
    }
  }

  /** Drops a request whose connection ended before the first attempt. */
  private abandon(
    { requestId }: CallerHeaders,
    response: ServerResponse,
  ): void {
    this.options.logger.info({ request: requestId }, "request_abandoned");
    response.destroy();
  }

  /** Waits briefly if there is no configuration yet; it is requested as soon as the process starts. */
  private async waitForInitialRoutes(): Promise<void> {
    if (this.options.getRoutes()) return;
    const { initialRoutes } = this.options;
    await Promise.race([
      initialRoutes,
      delay(INITIAL_CONFIGURATION_TIMEOUT_MS),
    ]);
  }

  /** Waits briefly if the publication is outdated; a host that was paused learns within that time what has changed.
   * @throws Failure if it is still outdated. */
  private async waitForUpdate(): Promise<void> {
    if (!this.options.getRoutes()) return;
    if (await this.options.gate.waitUntilOpen(UPDATE_TIMEOUT_MS)) return;
    throw Failure.create("belief_too_old", "changes may not be known");
  }

  private admit(
    request: IncomingMessage,
    headers: CallerHeaders,
    receivedAt: number,
  ): AdmittedCall {
    const admitted = admitCall({
      routes: this.options.getRoutes(),
      headers,
      method: request.method ?? "GET",
      path: request.url ?? "/",
      receivedAt,
      acceptsKeys: this.options.mayAcceptKeys(),
    });
    if (admitted.isErr()) throw admitted.error;
    this.assertEndsBeforeStop(admitted.value);
    return admitted.value;
  }

  private assertEndsBeforeStop(call: AdmittedCall): void {
    const refusal = this.options.stopAdmission.findRefusal(call);
    if (refusal) throw refusal;
  }

  private start(
    call: RoutedCall,
    callerResponse: CallerResponse,
    response: ServerResponse,
  ): void {
    const refusal = this.options.guard.findRefusal(toTrackedRequest(call));
    if (refusal) throw refusal;
    this.options.onRequestAdmitted(call.service);
    const { logger, codec, guard, streams } = this.options;
    let isEnded = false;
    const forwarder = CallForwarder.create(call, callerResponse, {
      ...this.options.upstreamAccess,
      logger,
      codec,
      crashes: guard,
      streams,
      memory: this.memory,
      onEnd: (ended, outcome) => {
        isEnded = true;
        guard.recordEnd(call.requestId);
        this.forwarders.delete(ended);
        this.recordEnd(call, outcome);
      },
    });
    if (isEnded) return;
    this.forwarders.add(forwarder);
    response.once("close", () => {
      if (!response.writableFinished) forwarder.endForCallerGone();
    });
  }

  private recordEnd(call: RoutedCall, outcome: CallOutcome): void {
    const { result, detail, durationMs, attempts, wasOpen } = outcome;
    const { pauses, pauseMs } = outcome;
    if (wasOpen) this.reportOpenResponse(call, detail);
    this.options.metrics.recordRequest(call.route.kind, result, durationMs);
    if (result === "answered") {
      const pace = { pauses, pauseMs };
      this.options.stopAdmission.recordAnswer(call, durationMs, pace);
    }
    this.options.logger.info({
      request: call.requestId,
      route: call.route.name,
      service: call.service,
      customer: call.customer,
      configuration: this.options.getRoutes()?.version,
      result,
      detail,
      attempts,
      durationMs: Math.round(durationMs),
    }, "request_ended");
  }

  /** Reports that a call ended without ending its response, which is a fault of this program. */
  private reportOpenResponse({ requestId }: RoutedCall, detail: string): void {
    this.options.metrics.recordOpenResponse();
    this.options.logger.error({ request: requestId, detail }, "response_open");
  }

  private refuse(
    failure: Failure,
    headers: CallerHeaders,
    callerResponse: CallerResponse,
  ): void {
    this.options.metrics.recordRefusal(failure.kind);
    this.options.logger.info({
      request: headers.requestId,
      kind: failure.kind,
      detail: failure.detail,
      configuration: this.options.getRoutes()?.version,
      ageMs: Math.round(this.options.getPublicationAgeMs()),
    }, "request_refused");
    callerResponse.refuse(failure);
  }
}

function isLonger(route: Route | undefined, call: RoutedCall): boolean {
  return route !== undefined && route.timeoutMs > call.route.timeoutMs;
}

function hasCallerGone(
  { socket }: IncomingMessage,
  response: ServerResponse,
): boolean {
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

function unwrapResumed(
  resumed: Result<ResumedStream, Failure> | undefined,
): ResumedStream | undefined {
  if (resumed?.isErr()) throw resumed.error;
  return resumed?.isOk() ? resumed.value : undefined;
}
