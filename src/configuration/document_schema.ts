import { z } from "zod";

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9-]{0,62}$/,
  "must be lower-case letters, digits and hyphens",
);

const parametersSchema = z.strictObject({
  models: z.array(z.string().min(1)).optional(),
  adapters: z.array(z.string().min(1)).optional(),
  services: z.array(z.string().min(1)).optional(),
  /** From 0 (lowest) to 9 (highest). */
  priority: z.number().int().min(0).max(9).optional(),
  /** Share of the pooled capacity that the customer is entitled to under contention. */
  capacityShare: z.number().gt(0).max(1).optional(),
});

/** The parameters that a template sets and a customer may override. */
export type Parameters = z.infer<typeof parametersSchema>;

const templateSchema = z.strictObject({
  kind: z.literal("template"),
  partner: nameSchema,
  name: nameSchema,
  parameters: parametersSchema,
});

const customerSchema = z.strictObject({
  kind: z.literal("customer"),
  partner: nameSchema,
  name: nameSchema,
  template: nameSchema,
  parameters: parametersSchema.default({}),
});

const assignmentSchema = z.strictObject({
  kind: z.literal("assignment"),
  partner: nameSchema,
  /** Id of the engine that the assignment is for. */
  name: nameSchema,
  models: z.array(z.string().min(1)),
  role: z.enum(["serve", "prefill", "decode"]).default("serve"),
});

const withdrawnSchema = z.strictObject({
  kind: z.literal("withdrawn"),
  partner: nameSchema,
  name: nameSchema,
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

/** The schema of a value that the platform publishes. */
export const publishedValueSchema = z.object({
  /** `<partner>/<folder>/<name>`. */
  key: z.string().min(1).max(512),
  /** Increases with each publication. */
  revision: z.number().int().min(1),
  value: z.unknown(),
});

/** A published value, before validation of its document. */
export type PublishedValue = z.infer<typeof publishedValueSchema>;
