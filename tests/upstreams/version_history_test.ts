import test from "ava";
import { Upstream } from "../../src/upstreams/upstream.ts";
import { VersionHistory } from "../../src/upstreams/version_history.ts";
import { buildUpstream } from "../published/build_published.ts";

function createHistory(present: Upstream[]) {
  const clock = { now: 100_000 };
  const history = VersionHistory.create({
    getPresent: (service) =>
      present.filter(({ published }) => published.service === service),
    readNow: () => clock.now,
  });
  return { history, clock };
}

function createUpstream(id: string, softwareVersion: string | undefined) {
  return Upstream.create({ ...buildUpstream({ id }), softwareVersion });
}

test("the versions of present upstreams and of those that departed within the time are known", (t) => {
  const { history, clock } = createHistory([createUpstream("u-1", "v2")]);
  history.recordDeparture(createUpstream("u-2", "v1"));
  clock.now += 5_000;
  t.deepEqual([...history.getVersions("s", 5_000).versions].sort(), [
    "v1",
    "v2",
  ]);
  t.deepEqual(history.getVersions("s", 4_999).versions, ["v2"]);
});

test("a departed version is remembered after an instance with its id has departed too", (t) => {
  const { history } = createHistory([]);
  history.recordDeparture(createUpstream("u-1", "v1"));
  history.recordDeparture(createUpstream("u-1", "v2"));
  t.deepEqual(history.getVersions("s", 1_000).versions, ["v1", "v2"]);
});

test("versions are complete since the last gap, or always on a fleet's first start", (t) => {
  const { history, clock } = createHistory([createUpstream("u-1", "v1")]);
  t.is(history.getVersions("s", 1_000).observedMs, 0);
  history.markComplete();
  t.is(history.getVersions("s", 1_000).observedMs, Infinity);
  history.recordGap();
  clock.now += 700;
  t.is(history.getVersions("s", 1_000).observedMs, 700);
});

test("an upstream without a version makes the versions incomplete", (t) => {
  const { history } = createHistory([
    createUpstream("u-1", "v1"),
    createUpstream("u-2", undefined),
  ]);
  history.markComplete();
  t.is(history.getVersions("s", 1_000).observedMs, 0);
});
