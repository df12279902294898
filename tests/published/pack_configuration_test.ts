import test from "ava";
import {
  packConfiguration,
  unpackConfiguration,
} from "../../src/published/pack_configuration.ts";
import { buildConfiguration, buildRoute } from "./build_published.ts";

/** Number of routes: a few more than the largest configuration that the users' scaled-up days publish at once. */
const ROUTE_COUNT = 1_850;
/** Number of bytes that a 10 Mbit/s link transfers in 100 ms. */
const MAX_PACKED_BYTES = 125_000;

test("unpacking restores the packed configuration, and thousands of routes stay small", (t) => {
  const routes = Array.from({ length: ROUTE_COUNT }, (_, index) => {
    const letters = (index * 7_919).toString(36);
    return buildRoute({ name: `r-${letters}`, pathPrefix: `/p${letters}/` });
  });
  const configuration = buildConfiguration({ version: 7, routes });
  const bytes = packConfiguration(configuration);
  t.true(bytes.length < MAX_PACKED_BYTES, `${bytes.length} bytes`);
  t.deepEqual(unpackConfiguration(bytes), configuration);
});

test("bytes that are not a packed configuration are rejected", (t) => {
  t.throws(() => unpackConfiguration(Buffer.from("nothing of the kind")));
});
