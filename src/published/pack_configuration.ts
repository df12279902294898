import { deflateRawSync, inflateRawSync } from "node:zlib";
import { pack, unpack } from "msgpackr";
import {
  configurationSchema,
  type PublishedConfiguration,
} from "./configuration_schema.ts";

/** Effort of the compression: the least, for routes are so alike that more of it saves little. */
const LEVEL = 1;
/** Longest unpacked configuration that is taken, in bytes: many times what the platform publishes. */
const MAX_BYTES = 64 * 1024 * 1024;

/** Writes a configuration for another host, compressed: thousands of routes are told to every host at the same time.
 * @param configuration The configuration. */
export function packConfiguration(
  configuration: PublishedConfiguration,
): Buffer {
  return deflateRawSync(pack(configuration), { level: LEVEL });
}

/** Reads a configuration that another host wrote.
 * @param bytes What it wrote.
 * @throws Error where the bytes can't be unpacked, ZodError where they are no configuration. */
export function unpackConfiguration(bytes: Uint8Array): PublishedConfiguration {
  const unpacked = inflateRawSync(bytes, { maxOutputLength: MAX_BYTES });
  return configurationSchema.parse(unpack(unpacked));
}
