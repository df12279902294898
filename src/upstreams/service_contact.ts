import type { Upstream } from "./upstream.ts";

/** Time since bytes of an upstream were received for which it counts as heard, in milliseconds. */
const HEARD_WITHIN_MS = 1_000;

/** How many upstreams of a service this host hears and reaches. */
export interface ServiceContact {
  service: string;
  /** Upstreams of which bytes were received recently. */
  heard: number;
  /** Upstreams that this host reaches over connections of its own. */
  direct: number;
  /** Upstreams that are listed and not leaving. */
  listed: number;
}

/** Counts, by service, the upstreams that are listed, heard recently and reached.
 * @param upstreams All upstreams.
 * @param now Monotonic milliseconds. */
export function countServiceContacts(
  upstreams: Iterable<Upstream>,
  now: number,
): Iterable<ServiceContact> {
  const contacts = new Map<string, ServiceContact>();
  for (const upstream of upstreams) {
    if (upstream.isLeaving) continue;
    const { service } = upstream.published;
    const contact = contacts.get(service) ??
      { service, heard: 0, direct: 0, listed: 0 };
    contact.listed += 1;
    if (now - upstream.lastReceivedAt < HEARD_WITHIN_MS) contact.heard += 1;
    if (upstream.path.isDirect) contact.direct += 1;
    contacts.set(service, contact);
  }
  return contacts.values();
}
