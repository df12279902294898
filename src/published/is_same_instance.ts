import type { PublishedUpstream } from "./upstream_schema.ts";

/** Returns whether two entries with the same id belong to the same instance of an upstream.
 * @param one An entry.
 * @param other Another entry. */
export function isSameInstance(
  one: PublishedUpstream,
  other: PublishedUpstream,
): boolean {
  return one.address === other.address && one.service === other.service &&
    one.startedAt === other.startedAt &&
    one.softwareVersion === other.softwareVersion;
}
