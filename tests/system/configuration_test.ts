import { request } from "undici";
import test from "ava";
import type { AuditRecord } from "../../src/audit/audit_record.ts";
import type { Fleet } from "../../tools/fleet.ts";
import type { RouterProcess } from "../../tools/router_process.ts";
import { waitUntil, withFleet } from "./with_fleet.ts";

const KEY = "kilima/customers/clinics";

function publishShare(fleet: Fleet, capacityShare: number): number {
  const parameters = { capacityShare };
  const value = {
    kind: "customer",
    partner: "kilima",
    name: "clinics",
    template: "standard",
    parameters,
  };
  return fleet.platform.publish(KEY, value);
}

async function waitForRevision(
  routers: readonly RouterProcess[],
  revision: number,
): Promise<void> {
  await Promise.all(
    routers.map((router) =>
      router.waitFor(
        (status) => status.configuration.revision === revision,
        "revision",
      )
    ),
  );
}

async function readAudit(
  router: RouterProcess,
  key: string,
): Promise<AuditRecord[]> {
  const response = await request(`http://${router.address}/audit?what=${key}`);
  return ((await response.body.json()) as { records: AuditRecord[] }).records;
}

test.serial("an accepted document becomes current on every router, even on those that cannot reach the platform", async (t) => {
  await withFleet({ useProxies: true }, async (fleet) => {
    for (const router of fleet.routers.slice(1)) {
      fleet.platformProxies.get(router.id)!.setMode("freeze");
    }
    const revision = publishShare(fleet, 0.4);
    await waitForRevision(fleet.routers, revision);
    const statuses = await Promise.all(
      fleet.routers.map((router) => router.getStatus()),
    );
    t.is(
      new Set(statuses.map((status) => status!.configuration.digest)).size,
      1,
    );
  });
});

test.serial("an older value from a stale platform never replaces a newer one, not even on a restarted router", async (t) => {
  await withFleet({}, async (fleet) => {
    fleet.platform.pinStaleValues();
    const revision = publishShare(fleet, 0.4);
    await waitForRevision(fleet.routers, revision);
    fleet.platform.setMode("stale");
    for (const router of fleet.routers) {
      await waitUntil("a document_superseded record", async () => {
        const records = await readAudit(router, KEY);
        return records.some((record) =>
          record.action === "document_superseded"
        );
      });
    }
    const restarted = fleet.routers[2]!;
    await restarted.kill();
    restarted.start();
    await restarted.waitFor((status) => status.phase === "serving", "serving");
    for (const router of fleet.routers) {
      t.is((await router.getStatus())!.configuration.revision, revision);
      const accepted = (await readAudit(router, KEY)).filter((record) =>
        record.action === "document_accepted"
      );
      const revisions = accepted.map((record) => record.revision);
      t.deepEqual(revisions, [...revisions].sort((a, b) => a - b));
      t.is(revisions.at(-1), revision);
    }
  });
});

test.serial("when two operators publish concurrently, the highest revision becomes current on every router", async (t) => {
  await withFleet({}, async (fleet) => {
    let revision = 0;
    for (let round = 0; round < 40; round++) {
      revision = publishShare(fleet, round % 2 === 0 ? 0.2 : 0.4);
    }
    await waitForRevision(fleet.routers, revision);
    for (const router of fleet.routers) {
      const accepted = (await readAudit(router, KEY)).filter((record) =>
        record.action === "document_accepted"
      );
      const revisions = accepted.map((record) => record.revision);
      t.deepEqual(revisions, [...revisions].sort((a, b) => a - b));
      t.is(revisions.at(-1), revision);
    }
  });
});

test.serial("a document in which one partner sets a customer of another is refused entirely by all routers, with the reason", async (t) => {
  await withFleet({}, async (fleet, caller) => {
    const value = {
      kind: "customer",
      partner: "rodar",
      name: "rosters",
      template: "standard",
    };
    fleet.platform.publish("kilima/customers/rosters", value);
    const revision = publishShare(fleet, 0.3);
    await waitForRevision(fleet.routers, revision);
    for (const router of fleet.routers) {
      const refused = (await readAudit(router, "kilima/customers/rosters")).at(
        -1,
      )!;
      t.is(refused.action, "document_refused");
      t.regex(
        refused.why,
        /document\.partner: rodar may not set what belongs to kilima/,
      );
      const response = await caller.chat(
        { customer: "kilima/rosters", router: router.address },
        "c1",
        ["hello"],
      );
      t.true(response.isComplete);
    }
  });
});

test.serial("a fleet that starts while the platform is down refuses requests as starting, and serves once it is back", async (t) => {
  await withFleet({}, async (fleet, caller) => {
    fleet.platform.setMode("down");
    await Promise.all(fleet.routers.map((router) => router.kill()));
    for (const router of fleet.routers) router.start();
    const first = fleet.routers[0]!;
    await first.waitFor((status) => status.phase === "starting", "starting");
    const refused = await caller.chat(
      { customer: "kilima/rosters", router: first.address },
      "c1",
      ["hello"],
    );
    t.is(refused.kind, "starting");
    t.is(refused.ran, "no");
    fleet.platform.setMode("up");
    await fleet.waitUntilServing();
    const response = await caller.chat(
      { customer: "kilima/rosters", router: first.address },
      "c1",
      ["hello"],
    );
    t.true(response.isComplete);
  });
});
