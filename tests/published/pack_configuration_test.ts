import test from "ava";
import {
  packConfiguration,
  unpackConfiguration,
} from "../../src/published/pack_configuration.ts";
import { buildConfiguration, buildRoute } from "./build_published.ts";

/** Routes of the largest configuration that the users' grown days publish at once, and a few. */
const ROUTES = 1_850;
/** Bytes that a link of ten megabits carries in a tenth of a second. */
const MOST_BYTES = 125_000;

test("a configuration comes out as it went in, and thousands of routes are few bytes", (t) => {
  const routes = Array.from({ length: ROUTES }, (_, index) => {
    const letters = (index * 7_919).toString(36);
    return buildRoute({ name: `r-${letters}`, pathPrefix: `/p${letters}/` });
  });
  const configuration = buildConfiguration({ version: 7, routes });
  const bytes = packConfiguration(configuration);
  t.true(bytes.length < MOST_BYTES, `${bytes.length} bytes`);
  t.deepEqual(unpackConfiguration(bytes), configuration);
});

test("what is no configuration is refused", (t) => {
  t.throws(() => unpackConfiguration(Buffer.from("nothing of the kind")));
});
