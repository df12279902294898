import { deflateRawSync, inflateRawSync } from "node:zlib";
import { pack, unpack } from "msgpackr";
import {
  configurationSchema,
  type PublishedConfiguration,
} from "./configuration_schema.ts";

/** Deflate level: the lowest, because routes are so similar that a higher level saves little. */
const COMPRESSION_LEVEL = 1;
/** Maximum size of an unpacked configuration in bytes; many times the size that the platform publishes. */
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024;

/** Serializes and compresses a configuration for another host. It is compressed because configurations with thousands
 * of routes are sent to every host at the same time. */
export function packConfiguration(
  configuration: PublishedConfiguration,
): Buffer {
  return deflateRawSync(pack(configuration), { level: COMPRESSION_LEVEL });
}

/** Deserializes a configuration that another host packed.
 * @param bytes Result of `packConfiguration`.
 * @throws Error if the bytes can't be unpacked, ZodError if they are not a valid configuration. */
export function unpackConfiguration(bytes: Uint8Array): PublishedConfiguration {
  const unpacked = inflateRawSync(bytes, {
    maxOutputLength: MAX_UNPACKED_BYTES,
  });
  return configurationSchema.parse(unpack(unpacked));
}
