import type { ConfigurationReplica } from "../configuration/configuration_replica.ts";
import type { OutcomeStore } from "../entry/outcome_store.ts";
import type { Owner } from "../owner/owner.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { RouterCrashTracker } from "./router_crash_tracker.ts";
import type { Witness } from "../witness/witness.ts";

/** The components of a router that handle frames of other routers. */
export interface RouterComponents {
  owner: Owner;
  witness: Witness;
  configuration: ConfigurationReplica;
  outcomes: OutcomeStore;
  crashes: RouterCrashTracker;
  /** Returns the host list in use. */
  getHostList: () => HostList;
}

type FrameHandlers = {
  [T in Frame["type"]]?: (port: FramePort, frame: FrameOf<T>) => void;
};

/** Creates the handler table by frame type. */
function createFrameHandlers(components: RouterComponents): FrameHandlers {
  const { owner, witness, configuration, outcomes, crashes } = components;
  return {
    offer: (port, frame) => owner.offer(port, frame),
    grant: (port, frame) => owner.reply(port, frame),
    withhold: (port, frame) => owner.reply(port, frame),
    cancel: (port, frame) => owner.reply(port, frame),
    credit: (port, frame) => owner.credit(port, frame),
    vote: (port, frame) => witness.handleVote(port, frame),
    release: (_port, frame) => witness.handleRelease(frame),
    record: (_port, frame) => witness.handleRecord(frame),
    pull_records: (port, frame) => witness.handleRecordPull(port, frame),
    crash_words: (_port, frame) =>
      crashes.guard.mergeNews({
        reports: frame.words,
        completions: frame.completions,
        heldParts: frame.heldParts,
      }),
    outcome: (port, frame) => void sendOutcome(outcomes, port, frame),
    pull_hosts: (port, frame) =>
      port.send({
        type: "hosts",
        exchange: frame.exchange,
        list: components.getHostList(),
      }),
    pull: (port, frame) => configuration.handlePull(port, frame),
  };
}

/** Handles the frames of a connection that a router opened; a frame type without a handler closes the connection.
 * @param components The components that handle the frames.
 * @param port The connection. */
export function attachFrameHandlers(
  components: RouterComponents,
  port: FramePort,
): void {
  const handlers = createFrameHandlers(components);
  port.onFrame((frame) => {
    const handler = handlers[frame.type];
    if (handler) {
      (handler as (port: FramePort, frame: Frame) => void)(port, frame);
    } else port.close();
  });
  port.onClose(() => components.owner.handlePortClosed(port));
}

async function sendOutcome(
  outcomes: OutcomeStore,
  port: FramePort,
  frame: FrameOf<"outcome">,
): Promise<void> {
  const outcome = await outcomes.get(frame.attempt, frame.waitMs);
  const response = outcome.state === "done"
    ? outcome.response
    : { status: 0, headers: {}, body: Buffer.alloc(0) };
  port.send({
    type: "outcome_is",
    exchange: frame.exchange,
    state: outcome.state,
    ...response,
  });
}
