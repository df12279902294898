import test from "ava";
import { getShare } from "../../fakes/load_bound_ledger.ts";
import {
  VirtualGateways,
  type VirtualGatewaysOptions,
} from "./virtual_gateways.ts";

/** Maximum fraction of the requests in a window of five seconds that may reach engines above the load bound: a third of
 * what is promised. */
const MAX_FRACTION_ABOVE = 0.01;
const SEEDS = [1, 2, 3];
/** Sizes of the tested fleets with their request rates. */
const FLEETS = [{ hosts: 7, requestsPerSecond: 120 }, {
  hosts: 24,
  requestsPerSecond: 400,
}];

/** Returns for each seed the fraction of requests in the worst window of five seconds that reach engines above the
 * bound. */
function measureWorst(
  fleet: Pick<VirtualGatewaysOptions, "hosts" | "requestsPerSecond">,
  changes: Partial<VirtualGatewaysOptions>,
): number[] {
  return SEEDS.map((seed) => {
    const { worstWindow } = VirtualGateways.run({
      ...fleet,
      seed,
      engines: 18,
      slots: 48,
      hotShare: 0,
      hotFromMs: 3_000,
      hotForMs: 60_000,
      hotPrompts: 1,
      trafficMs: 12_000,
      leaving: 0,
      ...changes,
    }).ledger;
    return getShare(worstWindow);
  });
}

// Guards against hosts that admit requests by counts that lack the requests that other hosts started since their last
// report.
for (const fleet of FLEETS) {
  test(`${fleet.hosts} hosts with one popular prompt keep engines within the load bound`, (t) => {
    const fractions = measureWorst(fleet, { hotShare: 0.6 });
    t.true(Math.max(...fractions) <= MAX_FRACTION_ABOVE, fractions.join(" "));
  });

  test(`${fleet.hosts} hosts without a popular prompt keep engines within the load bound`, (t) => {
    const fractions = measureWorst(fleet, {});
    t.true(Math.max(...fractions) <= MAX_FRACTION_ABOVE, fractions.join(" "));
  });
}

// Guards against taking the mean over only the engines that accept new requests: it is above the mean of the service
// while others are leaving.
test("engines stay within the load bound while others of their service are leaving", (t) => {
  const fractions = measureWorst(FLEETS[0]!, { leaving: 5 });
  t.true(Math.max(...fractions) <= MAX_FRACTION_ABOVE, fractions.join(" "));
});
