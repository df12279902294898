import { z } from "zod";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be lower-case letters, digits and hyphens",
);

const parametersSchema = z.strictObject({
  models: z.array(z.string().min(1)).optional(),
  adapters: z.array(z.string().min(1)).optional(),
  services: z.array(z.string().min(1)).optional(),
  /** 0 is the least urgent. */
  priority: z.number().int().min(0).max(9).optional(),
  /** Part of the pooled capacity that the customer is entitled to when all want it. */
  capacityShare: z.number().gt(0).max(1).optional(),
});

/** The parameters that a template sets and a customer may override. */
export type Parameters = z.infer<typeof parametersSchema>;

const templateSchema = z.strictObject({
  kind: z.literal("template"),
  partner: name,
  name,
  parameters: parametersSchema,
});

const customerSchema = z.strictObject({
  kind: z.literal("customer"),
  partner: name,
  name,
  template: name,
  parameters: parametersSchema.default({}),
});

const assignmentSchema = z.strictObject({
  kind: z.literal("assignment"),
  partner: name,
  /** Id of the engine the order is for. */
  name,
  models: z.array(z.string().min(1)),
  role: z.enum(["serve", "prefill", "decode"]).default("serve"),
});

const withdrawnSchema = z.strictObject({
  kind: z.literal("withdrawn"),
  partner: name,
  name,
});

/** The schema of a configuration document that operators publish. */
export const documentSchema = z.discriminatedUnion("kind", [
  templateSchema,
  customerSchema,
  assignmentSchema,
  withdrawnSchema,
]);

/** A configuration document. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** A value as the platform publishes it. */
export const publishedValueSchema = z.object({
  /** `<partner>/<folder>/<name>`. */
  key: z.string().min(1).max(512),
  /** Grows with each publication. */
  revision: z.number().int().min(1),
  value: z.unknown(),
});

/** One published value, not yet checked. */
export type PublishedValue = z.infer<typeof publishedValueSchema>;
