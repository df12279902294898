import test from "ava";
import fc from "fast-check";
import { decodeConfiguration } from "../../platform/decode_configuration.ts";
import { RouteTable } from "../../src/published/route_table.ts";

const DOCUMENT = {
  version: 7,
  routes: [{
    name: "r",
    host: "a.example",
    path_prefix: "/a/",
    route_kind: "idempotent",
    timeout_ms: 5_000,
    slo_ms: 500,
    service: "s",
    max_attempts: 2,
  }],
  services: [{ name: "s", max_conns: 100 }],
  limits: { max_body_bytes: 1_000 },
  tenants: [{ name: "c", api_keys: ["k"] }],
};

/** Documents that another writer may have stored: any JSON value, or a document with any one field replaced. */
const arbitraryDocument = fc.oneof(
  fc.jsonValue({ maxDepth: 6 }),
  fc.tuple(
    fc.constantFrom("version", "routes", "services", "limits", "tenants"),
    fc.jsonValue({ maxDepth: 4 }),
  ).map(([field, value]) => ({ ...DOCUMENT, [field]: value })),
  fc.tuple(
    fc.constantFrom(...Object.keys(DOCUMENT.routes[0]!)),
    fc.jsonValue({ maxDepth: 3 }),
  ).map(([field, value]) => ({
    ...DOCUMENT,
    routes: [{ ...DOCUMENT.routes[0], [field]: value }],
  })),
  fc.constant(JSON.parse('{"__proto__": {"version": 1}, "routes": []}')),
);

test("an arbitrary document is rejected with a ZodError or yields a route table", (t) => {
  const property = fc.property(arbitraryDocument, (value) => {
    try {
      RouteTable.create(decodeConfiguration(value));
      return true;
    } catch (error) {
      return (error as Error).name === "ZodError";
    }
  });
  fc.assert(property, { seed: 19, numRuns: 5_000 });
  t.pass();
});

test("a complete document is accepted", (t) => {
  t.is(decodeConfiguration(DOCUMENT).routes.length, 1);
});
