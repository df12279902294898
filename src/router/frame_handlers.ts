import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type { OutcomeStore } from "../entry/outcome_store.ts";
import type { Owner } from "../owner/owner.ts";
import type { FramePort } from "../peer/frame_port.ts";
import type { Frame, FrameOf } from "../peer/frame_schema.ts";
import type { HostList } from "../configuration_service/host_schema.ts";
import type { RouterCrashes } from "./router_crashes.ts";
import type { Witness } from "../witness/witness.ts";

/** The parts of a router that answer other routers. */
export interface FrameReceivers {
  owner: Owner;
  witness: Witness;
  configuration: ConfigurationKeeper;
  outcomes: OutcomeStore;
  crashes: RouterCrashes;
  /** The list of hosts in use. */
  getHosts: () => HostList;
}

type FrameHandlers = {
  [T in Frame["type"]]?: (port: FramePort, frame: FrameOf<T>) => void;
};

/** Builds the table from type of frame to what is done with it.
 * @param receivers The parts that answer. */
function createFrameHandlers(receivers: FrameReceivers): FrameHandlers {
  const { owner, witness, configuration, outcomes, crashes } = receivers;
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
    crash_words: (_port, frame) => crashes.learn(frame.words),
    outcome: (port, frame) => void answerOutcome(outcomes, port, frame),
    pull_hosts: (port, frame) =>
      port.send({
        type: "hosts",
        exchange: frame.exchange,
        list: receivers.getHosts(),
      }),
    pull: (port, frame) => configuration.answerPull(port, frame),
  };
}

/** Lets the parts of a router answer a connection that another router opened; a frame without a handler ends it.
 * @param receivers The parts that answer.
 * @param port The connection. */
export function attachPort(receivers: FrameReceivers, port: FramePort): void {
  const handlers = createFrameHandlers(receivers);
  port.onFrame((frame) => {
    const handler = handlers[frame.type];
    if (handler) {
      (handler as (port: FramePort, frame: Frame) => void)(port, frame);
    } else port.close();
  });
  port.onClose(() => receivers.owner.portClosed(port));
}

async function answerOutcome(
  outcomes: OutcomeStore,
  port: FramePort,
  frame: FrameOf<"outcome">,
): Promise<void> {
  const outcome = await outcomes.get(frame.attempt, frame.waitMs);
  const answer = outcome.state === "done"
    ? outcome.answer
    : { status: 0, headers: {}, body: Buffer.alloc(0) };
  port.send({
    type: "outcome_is",
    exchange: frame.exchange,
    state: outcome.state,
    ...answer,
  });
}
