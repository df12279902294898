import test from "ava";
import { ZodError } from "zod";
import { parseSettings } from "../../platform/settings_file.ts";

const LINES = [
  "node_name=edge-1",
  "ip=10.1.0.40",
  "zone=kariakoo",
  "region=dar",
  "zones.kariakoo=dar",
  "listen.front=10.1.0.40:8227",
  "listen.readiness=10.1.0.40:8220",
  "listen.control=10.1.0.40:8229",
  "listen.directory=10.1.0.40:8224",
  "port_range=7340,7355",
  "seeds=10.1.0.40:8229,10.2.0.29:8229",
  "bootstrap=true",
  "platform.address=10.200.1.7:8223",
  "bounds.drain_ms=3000",
  "bounds.grace_s=8",
  "bounds.strict_revoke=true",
  "bounds.revoke_ms=5000",
  "a.field.of.later=something",
];

test("the platform's settings are converted to the gateway's settings, and unknown fields are ignored", (t) => {
  const settings = parseSettings(LINES.join("\n"));
  t.is(settings.id, "edge-1");
  t.is(settings.hall, "kariakoo");
  t.is(settings.gossipAddress, "10.1.0.40:7340");
  t.deepEqual(settings.seedAddresses, ["10.1.0.40:7340", "10.2.0.29:7340"]);
  t.is(settings.leaveWithinMs, 3_000);
  t.is(settings.stopTimeoutMs, 8_000);
  t.is(settings.keyRevocationLimitMs, 5_000);
  t.true(settings.isFirstStart);
});

test("without strict revocation there is no limit on the age at which keys are accepted", (t) => {
  const lines = LINES.map((line) =>
    line.startsWith("bounds.strict") ? "bounds.strict_revoke=false" : line
  );
  t.is(parseSettings(lines.join("\n")).keyRevocationLimitMs, undefined);
});

test("each missing or invalid field is named", (t) => {
  const lines = LINES.filter((line) => !line.startsWith("ip=")).map((line) =>
    line.startsWith("listen.front") ? "listen.front=nowhere" : line
  );
  const error: unknown = t.throws(() => parseSettings(lines.join("\n")));
  const issues = error instanceof ZodError ? error.issues : [];
  const paths = issues.map((issue) => issue.path.join("."));
  t.deepEqual(paths.sort(), ["ip", "listen.front"]);
});
