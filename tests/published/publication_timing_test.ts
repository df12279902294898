import test from "ava";
import { decidePublicationUse } from "../../src/published/decide_publication_use.ts";
import {
  getLateAgeMs,
  getWatchMs,
} from "../../src/published/publication_timing.ts";

/** Interval of gossip with its echo, after which another host of a small fleet knows the age of a watcher's copy. */
const GOSSIP_MS = 400;

for (const applyWithinMs of [1_500, 2_000, 3_000, 4_000]) {
  test(`a publication that is updated in time is current where changes must be in force within ${applyWithinMs} ms`, (t) => {
    const ageMs = getWatchMs(applyWithinMs) + GOSSIP_MS;
    const inputs = { ageMs, applyWithinMs, isPlatformUnavailable: false };
    t.is(decidePublicationUse(inputs), "current");
  });

  test(`a publication is late before it is outdated where changes must be in force within ${applyWithinMs} ms`, (t) => {
    const ageMs = getLateAgeMs(applyWithinMs);
    const inputs = { ageMs, applyWithinMs, isPlatformUnavailable: false };
    t.is(decidePublicationUse(inputs), "current");
    const outdated = { ...inputs, ageMs: applyWithinMs };
    t.is(decidePublicationUse(outdated), "outdated");
    const unavailable = { ...outdated, isPlatformUnavailable: true };
    t.is(decidePublicationUse(unavailable), "platform_unavailable");
  });
}
