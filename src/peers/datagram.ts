import type { CrashNews } from "../crashes/crash_news.ts";
import type { OutageReport } from "../upstreams/outage_reports.ts";
import type { PrefixHolder, PrefixUpdate } from "../upstreams/prefix_index.ts";
import type { StreamMessage } from "../streams/stream_message.ts";
import type { SlotMessage } from "../upstreams/slot_message.ts";
import type { GossipMessage } from "./gossip_schema.ts";
import type { HostRumour } from "./host_rumour.ts";
import type { PublicationStatus } from "./publication_status.ts";

/** Messages that hosts send each other, one per datagram. */
export type Datagram =
  | { type: "gossip"; message: GossipMessage }
  /** Acknowledges the probe with the nonce; `target` is the gossip address of the probed host. */
  | {
    type: "probe_ack";
    nonce: number;
    target: string;
    rumours: readonly HostRumour[];
  }
  /** Asks the receiver to probe a host and, if that host responds, to send an acknowledgement with the nonce. */
  | { type: "indirect_probe_request"; nonce: number; target: string }
  /** Disseminates membership updates about hosts. */
  | { type: "host_rumours"; rumours: readonly HostRumour[] }
  /** Requests the entries of hosts; `names` are the hashes of their gossip addresses. */
  | { type: "host_entries_request"; names: readonly number[] }
  /** Requests the status of the receiver's copy of the publication; `requestedAt` is the requester's clock. */
  | { type: "publication_status_request"; requestedAt: number }
  /** Responds to such a request and returns its `requestedAt`. */
  | {
    type: "publication_status_response";
    requestedAt: number;
    status: PublicationStatus;
  }
  /** Reports which engines were sent which parts of prompts. */
  | { type: "prefix_updates"; updates: readonly PrefixUpdate[] }
  /** Asks which engines have a part of a prompt cached; the id matches responses to requests. */
  | { type: "prefix_lookup_request"; lookupId: number; part: number }
  /** Responds to such a request and returns its id. */
  | {
    type: "prefix_lookup_response";
    lookupId: number;
    holders: readonly PrefixHolder[];
  }
  /** Tells about crashed upstreams and the requests on them. */
  | { type: "crash_words"; news: CrashNews }
  /** Reports failed connections to upstreams. */
  | { type: "outage_reports"; reports: readonly OutageReport[] }
  | SlotMessage
  | StreamMessage;

/** Type of a datagram. */
export type DatagramType = Datagram["type"];

/** A datagram of one type. */
export type DatagramOf<Type extends DatagramType> = Extract<
  Datagram,
  { type: Type }
>;
