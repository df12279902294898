import type { CancelTimer, Timeline } from "../clock/timeline.ts";
import type { DatagramPort } from "../peers/datagram_socket.ts";
import type { HostRing } from "../peers/host_ring.ts";
import type { ObservedVersions } from "../upstreams/version_history.ts";
import type { StreamMessage } from "./stream_message.ts";
import type { StreamRecord } from "./stream_record.ts";
import { StreamRecordStore } from "./stream_record_store.ts";
import { StreamLookup, type StreamLookupResult } from "./stream_lookup.ts";

/** Number of hosts that hold the record of a stream besides the one that forwards it, so that most of them may fail. */
const HOLDERS = 5;
/** Number of hosts that are asked for a record: also those that were holders before others started. */
const ASKED_HOSTS = 8;
/** Interval at which the records of streams in progress are sent again, in milliseconds: hosts that have started
 * meanwhile become holders before most others fail. */
const REFRESH_INTERVAL_MS = 1_000;
/** Maximum number of records in a datagram, so that it fits into one packet. */
const MAX_RECORDS_PER_DATAGRAM = 24;
/** Number of positions on the ring. */
const RING_POSITIONS = 2 ** 32;

/** What is asked about a stream. */
export interface StreamQuestion {
  /** Key of the stream. */
  key: number;
  /** Service of the request that resumes it. */
  service: string;
  /** Time within which it began, in milliseconds. */
  withinMs: number;
}

/** Dependencies of a {@link StreamDirectory}. */
export interface StreamDirectoryOptions {
  socket: DatagramPort;
  ring: HostRing;
  /** Returns the versions of a service that may have served within a time, in milliseconds. */
  getVersions: (service: string, withinMs: number) => ObservedVersions;
  /** Whether this host has discovered its fleet. */
  knowsFleet: () => boolean;
  timeline: Timeline;
}

/** Distributed directory of where streams began. The host that forwards a stream sends its record to holders, which
 * consistent hashing assigns to its key, before its first event can arrive; any host looks it up there. */
export class StreamDirectory {
  private readonly records: StreamRecordStore;
  /** Records of the streams that this host forwards. */
  private readonly ownRecords = new Map<number, StreamRecord>();
  private readonly lookups = new Map<number, StreamLookup>();
  private readonly stopRefreshing: CancelTimer;
  private lastLookupId = 0;

  private constructor(private readonly options: StreamDirectoryOptions) {
    const { socket, timeline } = options;
    this.records = StreamRecordStore.create(() => timeline.read());
    this.stopRefreshing = timeline.every(
      REFRESH_INTERVAL_MS,
      () => this.refresh(),
    );
    socket.handle("stream_records", ({ records }) => {
      for (const [key, record] of records) this.records.put(key, record);
    });
    socket.handle(
      "stream_lookup_request",
      (request, sender) => socket.send(sender, this.buildResponse(request)),
    );
    socket.handle(
      "stream_lookup_response",
      (response, sender) =>
        this.lookups.get(response.lookupId)?.recordResponse(sender, response),
    );
  }

  /** Creates a directory.
   * @param options Its dependencies. */
  static create(options: StreamDirectoryOptions): StreamDirectory {
    return new StreamDirectory(options);
  }

  /** Records a stream that this host forwards, until it is released.
   * @param key Key of the stream.
   * @param record Its record. */
  announce(key: number, record: StreamRecord): void {
    this.ownRecords.set(key, record);
    this.records.put(key, record);
    for (const holder of this.getHosts(key, HOLDERS)) {
      this.sendRecords(holder, [[key, record]]);
    }
  }

  /** Stops sending the record of a stream that this host no longer forwards, unless its caller has resumed it here. The
   * holders keep it.
   * @param key Key of the stream.
   * @param record The record that was announced last for the call that has ended. */
  release(key: number, record: StreamRecord): void {
    if (this.ownRecords.get(key) === record) this.ownRecords.delete(key);
  }

  /** Looks up a stream at this host and at its holders.
   * @param question What is asked. */
  async lookUp(question: StreamQuestion): Promise<StreamLookupResult> {
    const { key, service, withinMs } = question;
    const { socket, timeline, getVersions, knowsFleet } = this.options;
    this.lastLookupId += 1;
    const lookupId = this.lastLookupId;
    const lookup = StreamLookup.create({
      own: { record: this.records.get(key), ...getVersions(service, withinMs) },
      getHosts: () => this.getHosts(key, ASKED_HOSTS),
      knowsFleet,
      ask: (host) =>
        socket.send(host, {
          type: "stream_lookup_request",
          lookupId,
          ...question,
        }),
      timeline,
    });
    this.lookups.set(lookupId, lookup);
    const result = await lookup.result;
    this.lookups.delete(lookupId);
    if (result.record) this.records.put(key, result.record);
    return result;
  }

  /** Stops sending records and ends pending lookups. */
  close(): void {
    this.stopRefreshing();
    for (const lookup of this.lookups.values()) lookup.close();
  }

  private buildResponse(
    request: Extract<StreamMessage, { type: "stream_lookup_request" }>,
  ): StreamMessage {
    const { lookupId, key, service, withinMs } = request;
    return {
      type: "stream_lookup_response",
      lookupId,
      record: this.records.get(key),
      ...this.options.getVersions(service, withinMs),
    };
  }

  /** Sends the records of the streams in progress again, to hosts that may have become holders. */
  private refresh(): void {
    const recordsByHolder = new Map<string, [number, StreamRecord][]>();
    for (const [key, record] of this.ownRecords) {
      this.records.put(key, record);
      for (const holder of this.getHosts(key, HOLDERS)) {
        const records = recordsByHolder.get(holder) ?? [];
        records.push([key, record]);
        recordsByHolder.set(holder, records);
      }
    }
    for (const [holder, records] of recordsByHolder) {
      for (
        let first = 0;
        first < records.length;
        first += MAX_RECORDS_PER_DATAGRAM
      ) {
        const last = first + MAX_RECORDS_PER_DATAGRAM;
        this.sendRecords(holder, records.slice(first, last));
      }
    }
  }

  private sendRecords(
    holder: string,
    records: readonly (readonly [number, StreamRecord])[],
  ): void {
    this.options.socket.send(holder, { type: "stream_records", records });
  }

  private getHosts(key: number, count: number): string[] {
    return this.options.ring.getSpreadSuccessors(key % RING_POSITIONS, count);
  }
}
