import type { UpstreamChoice } from "../upstreams/choose_upstream.ts";
import { Attempt, type AttemptListener } from "./attempt.ts";
import { buildAttemptRequest } from "./build_attempt_request.ts";
import type { CallForwarderContext } from "./call_forwarder_context.ts";
import type { CallLog } from "./call_log.ts";
import type { RoutedCall } from "./routed_call.ts";

/** What one attempt sends, and where. */
export interface AttemptPlan {
  choice: UpstreamChoice;
  /** Why the request is sent: `first`, or how the previous attempt ended. */
  reason: string;
  /** Time until the call's deadline, in milliseconds. */
  remainingMs: number;
  /** Id of the last event that the caller has received; undefined if it has received none. */
  lastEventId: string | undefined;
  /** Whether the request continues a stream. */
  continuesStream: boolean;
}

/** Sends the request of a call to chosen upstreams. */
export class AttemptSender {
  private constructor(
    private readonly call: RoutedCall,
    private readonly context: CallForwarderContext,
    private readonly log: CallLog,
  ) {}

  /** Creates a sender.
   * @param call The call.
   * @param context Dependencies on the rest of the process.
   * @param log Logs each send. */
  static create(
    call: RoutedCall,
    context: CallForwarderContext,
    log: CallLog,
  ): AttemptSender {
    return new AttemptSender(call, context, log);
  }

  /** Sends the request and records the send.
   * @param plan The upstream and what the attempt sends.
   * @param listener Receives the events of the attempt. */
  send(plan: AttemptPlan, listener: AttemptListener): Attempt {
    const { call, context } = this;
    const { choice, remainingMs, lastEventId, continuesStream } = plan;
    const { upstream } = choice;
    const prompt = context.placePrompt(call, upstream);
    const load = context.recordSend(choice);
    const publicationAgeMs = context.getPublicationAgeMs();
    this.log.logSent({ ...plan, load, publicationAgeMs, prompt });
    const request = buildAttemptRequest(call, {
      upstreamId: upstream.id,
      remainingMs,
      lastEventId,
      fetchFrom: prompt?.fetchFrom,
    }, context.codec);
    return Attempt.create(
      upstream,
      { ...request, continuesStream },
      context,
      listener,
    );
  }
}
