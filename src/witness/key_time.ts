import { validate, version } from "uuid";

/** Returns the time in a version 7 UUID, in milliseconds since the epoch, or nothing for any other key.
 * @param key An idempotency key, with or without its customer before it. */
export function readKeyTime(key: string): number | undefined {
  const id = key.slice(key.lastIndexOf("/") + 1);
  if (!validate(id) || version(id) !== 7) return undefined;
  return parseInt(id.replaceAll("-", "").slice(0, 12), 16);
}
