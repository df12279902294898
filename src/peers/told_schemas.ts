/** Lists of numbers in which hosts tell each other many facts of one kind. */
import { z } from "zod";

/** Any numbers. Checked in one step, for such lists come by the thousand. */
export const numberListSchema = z.custom<number[]>((list) =>
  Array.isArray(list) && list.every((one) => typeof one === "number")
);

/** Requests that a host has running: each a `LoadCount`. */
export const loadCountsSchema = z.array(z.tuple([z.number(), z.number()]));

/** Which engines were sent which parts of prompts: each a `PrefixFact`. */
export const prefixFactsSchema = z.array(
  z.tuple([z.number(), z.number(), z.number()]),
);

/** Which engines keep a part: each a `PrefixSighting`. */
export const prefixSightingsSchema = z.array(
  z.tuple([z.number(), z.number()]),
);
