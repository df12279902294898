/** Schemas of the number lists in messages between hosts. */
import { z } from "zod";

/** List of any numbers, checked in one step, since such lists are decoded by the thousand. */
export const numberListSchema = z.custom<number[]>((list) =>
  Array.isArray(list) && list.every((item) => typeof item === "number")
);

/** In-flight requests of a host: each a `LoadCount`. */
export const loadCountsSchema = z.array(z.tuple([z.number(), z.number()]));

/** Statements of upstreams about declines: each a `DeclineLimit`. */
export const declineLimitsSchema = z.array(
  z.tuple([z.number(), z.number(), z.number()]),
);

/** How much room services have: each a `RoomStatement`. */
export const roomStatementsSchema = z.array(
  z.tuple([z.number(), z.number().int().nonnegative()]),
);

/** Which engines were sent which parts of prompts: each a `PrefixUpdate`. */
export const prefixUpdatesSchema = z.array(
  z.tuple([z.number(), z.number(), z.number()]),
);

/** Failed connections to upstreams: each an `OutageReport`. */
export const outageReportsSchema = z.array(
  z.tuple([z.number(), z.number(), z.boolean()]),
);

/** Which engines have a part cached: each a `PrefixHolder`. */
export const prefixHoldersSchema = z.array(
  z.tuple([z.number(), z.number()]),
);
