import { Failure } from "./failure.ts";

/** Returns the value, or throws an `internal` failure if it is missing.
 * @param value The required value.
 * @param name Name of the value, for the error message. */
export function getOrThrow<T>(value: T | undefined | null, name: string): T {
  if (value === undefined || value === null) {
    throw Failure.create("internal", `${name} is missing`);
  }
  return value;
}
