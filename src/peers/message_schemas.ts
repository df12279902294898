/** Schemas of the number lists that are shared by several messages between hosts. */
import { z } from "zod";

/** List of any numbers, checked in one step, since such lists are decoded by the thousand. */
export const numberListSchema = z.custom<number[]>((list) =>
  Array.isArray(list) && list.every((item) => typeof item === "number")
);

/** In-flight requests of a host: each a `LoadCount`. */
export const loadCountsSchema = z.array(z.tuple([z.number(), z.number()]));

/** Which engines were sent which parts of prompts: each a `PrefixFact`. */
export const prefixFactsSchema = z.array(
  z.tuple([z.number(), z.number(), z.number()]),
);

/** Which engines hold a part: each a `PrefixSighting`. */
export const prefixSightingsSchema = z.array(
  z.tuple([z.number(), z.number()]),
);
