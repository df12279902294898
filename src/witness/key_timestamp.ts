import { validate, version } from "uuid";

/** Returns the timestamp of a key that is a version 7 UUID, in milliseconds since the epoch; undefined for other keys.
 * @param key An idempotency key, with or without the prefix `<customer>/`. */
export function parseKeyTimestamp(key: string): number | undefined {
  const id = key.slice(key.lastIndexOf("/") + 1);
  if (!validate(id) || version(id) !== 7) return undefined;
  return parseInt(id.replaceAll("-", "").slice(0, 12), 16);
}
