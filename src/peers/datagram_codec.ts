import { pack, unpack } from "msgpackr";
import { z } from "zod";
import {
  completionCountSchema,
  heldPartsSchema,
} from "../crashes/crash_news.ts";
import {
  packCrashReport,
  packedCrashReportSchema,
} from "../crashes/crash_report.ts";
import type { Datagram, DatagramOf, DatagramType } from "./datagram.ts";
import { packGossip } from "./pack_gossip.ts";
import { gossipSchema } from "./gossip_schema.ts";
import { hostRumoursSchema, packHostRumours } from "./host_rumour.ts";
import {
  numberListSchema,
  outageReportsSchema,
  prefixHoldersSchema,
  prefixUpdatesSchema,
} from "./message_schemas.ts";
import {
  packStreamRecord,
  streamRecordSchema,
} from "../streams/stream_message.ts";

/** Encodes and decodes the body of one datagram type. */
interface BodyCodec<Type extends DatagramType> {
  /** Code of the type on the wire. */
  typeCode: number;
  pack: (datagram: DatagramOf<Type>) => unknown[];
  /** Validates and decodes a body. */
  schema: z.ZodType<DatagramOf<Type>>;
}

/** A packed datagram: the code of its type, followed by its body. */
const packedSchema = z.tuple([z.number()]).rest(z.unknown());

/** Codecs by datagram type. */
const CODECS: { readonly [Type in DatagramType]: BodyCodec<Type> } = {
  gossip: {
    typeCode: 0,
    pack: ({ message }) => [packGossip(message)],
    schema: z.tuple([gossipSchema]).rest(z.unknown())
      .transform(([message]) => ({ type: "gossip", message })),
  },
  publication_status_request: {
    typeCode: 1,
    pack: ({ requestedAt }) => [requestedAt],
    schema: z.tuple([z.number()])
      .transform(([requestedAt]) => ({
        type: "publication_status_request",
        requestedAt,
      })),
  },
  publication_status_response: {
    typeCode: 2,
    pack: ({ requestedAt, status }) => [
      requestedAt,
      status.digest,
      status.revision,
      Math.round(status.publicationAgeMs),
      ...status.isPlatformUnavailable ? [true] : [],
    ],
    schema: z.tuple([
      z.number(),
      z.number(),
      z.number(),
      z.number(),
      z.boolean().default(false),
    ]).transform(([requestedAt, digest, revision, ageMs, isUnavailable]) => ({
      type: "publication_status_response",
      requestedAt,
      status: {
        digest,
        revision,
        publicationAgeMs: ageMs,
        isPlatformUnavailable: isUnavailable,
      },
    })),
  },
  prefix_updates: {
    typeCode: 3,
    pack: ({ updates }) => [updates],
    schema: z.tuple([prefixUpdatesSchema])
      .transform(([updates]) => ({ type: "prefix_updates", updates })),
  },
  prefix_lookup_request: {
    typeCode: 4,
    pack: ({ lookupId, part }) => [lookupId, part],
    schema: z.tuple([z.number(), z.number()])
      .transform(([lookupId, part]) => ({
        type: "prefix_lookup_request",
        lookupId,
        part,
      })),
  },
  prefix_lookup_response: {
    typeCode: 5,
    pack: ({ lookupId, holders }) => [lookupId, holders],
    schema: z.tuple([z.number(), prefixHoldersSchema])
      .transform(([lookupId, holders]) => ({
        type: "prefix_lookup_response",
        lookupId,
        holders,
      })),
  },
  crash_words: {
    typeCode: 6,
    pack: ({ news: { reports, completions, heldParts } }) => [
      reports.map(packCrashReport),
      completions,
      heldParts,
    ],
    schema: z.tuple([
      z.array(packedCrashReportSchema),
      z.array(completionCountSchema),
      heldPartsSchema,
    ]).transform(([reports, completions, heldParts]) => (
      { type: "crash_words", news: { reports, completions, heldParts } }
    )),
  },
  probe_ack: {
    typeCode: 7,
    pack: ({ nonce, target, rumours }) => [
      nonce,
      target,
      packHostRumours(rumours),
    ],
    schema: z.tuple([z.number(), z.string(), hostRumoursSchema])
      .transform(([nonce, target, rumours]) => (
        { type: "probe_ack", nonce, target, rumours }
      )),
  },
  indirect_probe_request: {
    typeCode: 8,
    pack: ({ nonce, target }) => [nonce, target],
    schema: z.tuple([z.number(), z.string()])
      .transform(([nonce, target]) => (
        { type: "indirect_probe_request", nonce, target }
      )),
  },
  host_rumours: {
    typeCode: 9,
    pack: ({ rumours }) => [packHostRumours(rumours)],
    schema: z.tuple([hostRumoursSchema])
      .transform(([rumours]) => ({ type: "host_rumours", rumours })),
  },
  host_entries_request: {
    typeCode: 10,
    pack: ({ names }) => [names],
    schema: z.tuple([z.array(z.number())])
      .transform(([names]) => ({ type: "host_entries_request", names })),
  },
  slot_request: {
    typeCode: 12,
    pack: ({ loanId, instanceHash, borrower, isForwarded }) => [
      loanId,
      instanceHash,
      borrower,
      isForwarded,
    ],
    schema: z.tuple([z.number(), z.number(), z.string(), z.boolean()])
      .transform(([loanId, instanceHash, borrower, isForwarded]) => ({
        type: "slot_request",
        loanId,
        instanceHash,
        borrower,
        isForwarded,
      })),
  },
  slot_response: {
    typeCode: 13,
    pack: ({ loanId, instanceHash, isGranted }) => [
      loanId,
      instanceHash,
      isGranted,
    ],
    schema: z.tuple([z.number(), z.number(), z.boolean()])
      .transform(([loanId, instanceHash, isGranted]) => (
        { type: "slot_response", loanId, instanceHash, isGranted }
      )),
  },
  slot_loan_report: {
    typeCode: 14,
    pack: ({ borrower, inUse, ended }) => [borrower, inUse, ended],
    schema: z.tuple([z.string(), numberListSchema, numberListSchema])
      .transform(([borrower, inUse, ended]) => (
        { type: "slot_loan_report", borrower, inUse, ended }
      )),
  },
  stream_records: {
    typeCode: 15,
    pack: ({ records }) => [
      records.map(([key, record]) => [key, packStreamRecord(record)]),
    ],
    schema: z.tuple([z.array(z.tuple([z.number(), streamRecordSchema]))])
      .transform(([records]) => ({ type: "stream_records", records })),
  },
  stream_lookup_request: {
    typeCode: 16,
    pack: ({ lookupId, key, service, withinMs }) => [
      lookupId,
      key,
      service,
      withinMs,
    ],
    schema: z.tuple([z.number(), z.number(), z.string(), z.number()])
      .transform(([lookupId, key, service, withinMs]) => (
        { type: "stream_lookup_request", lookupId, key, service, withinMs }
      )),
  },
  stream_lookup_response: {
    typeCode: 17,
    pack: ({ lookupId, record, versions, observedMs }) => [
      lookupId,
      record ? packStreamRecord(record) : null,
      versions,
      Math.min(observedMs, Number.MAX_SAFE_INTEGER),
    ],
    schema: z.tuple([
      z.number(),
      streamRecordSchema.nullable(),
      z.array(z.string()),
      z.number(),
    ]).transform(([lookupId, record, versions, observedMs]) => ({
      type: "stream_lookup_response",
      lookupId,
      record: record ?? undefined,
      versions,
      observedMs,
    })),
  },
  outage_reports: {
    typeCode: 11,
    pack: ({ reports }) => [reports],
    schema: z.tuple([outageReportsSchema])
      .transform(([reports]) => ({ type: "outage_reports", reports })),
  },
};

/** Body schemas by the code of the type on the wire. */
const SCHEMA_BY_TYPE_CODE = new Map<number, z.ZodType<Datagram>>(
  Object.values(CODECS).map(({ typeCode, schema }) => [typeCode, schema]),
);

/** Encodes a datagram.
 * @param datagram The datagram. */
export function encodeDatagram(datagram: Datagram): Buffer {
  const codec = CODECS[datagram.type] as BodyCodec<DatagramType>;
  return pack([codec.typeCode, ...codec.pack(datagram)]);
}

/** Decodes a datagram; returns undefined if it is malformed.
 * @param bytes The encoded datagram. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const packed = packedSchema.safeParse(tryUnpack(bytes));
  if (!packed.success) return undefined;
  const [typeCode, ...body] = packed.data;
  return SCHEMA_BY_TYPE_CODE.get(typeCode)?.safeParse(body).data;
}

/** Unpacks msgpack; returns undefined for invalid bytes, which the schema then rejects. */
function tryUnpack(bytes: Buffer): unknown {
  try {
    return unpack(bytes);
  } catch {
    return undefined;
  }
}
