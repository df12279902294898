import type { Upstream } from "./upstream.ts";

/** Time since bytes of an upstream were received for which it counts as heard, in milliseconds. */
const HEARD_WITHIN_MS = 1_000;

/** How many upstreams of a service this host hears. */
export interface ServiceContact {
  service: string;
  /** Upstreams of which bytes were received recently. */
  heard: number;
  /** Upstreams that are listed and not leaving. */
  listed: number;
}

/** Counts, by service, the upstreams that are listed and those that were heard recently.
 * @param upstreams All upstreams.
 * @param now Monotonic milliseconds. */
export function countServiceContacts(
  upstreams: Iterable<Upstream>,
  now: number,
): Iterable<ServiceContact> {
  const contacts = new Map<string, ServiceContact>();
  for (
    const { published: { service }, isLeaving, lastReceivedAt } of upstreams
  ) {
    if (isLeaving) continue;
    const contact = contacts.get(service) ?? { service, heard: 0, listed: 0 };
    contact.listed += 1;
    if (now - lastReceivedAt < HEARD_WITHIN_MS) contact.heard += 1;
    contacts.set(service, contact);
  }
  return contacts.values();
}
