import { Failure } from "./failure.ts";

/** Returns the value, or throws an `internal` failure naming what was missing.
 * @param value The value that must be there.
 * @param name What it is, for the message. */
export function getOrThrow<T>(value: T | undefined | null, name: string): T {
  if (value === undefined || value === null) {
    throw Failure.create("internal", `${name} is missing`);
  }
  return value;
}
