import test from "ava";
import { chooseService, RouteTable } from "../../src/published/route_table.ts";
import { buildConfiguration, buildRoute } from "./build_published.ts";

test("the route of the host with the longest matching prefix is chosen", (t) => {
  const table = RouteTable.create(buildConfiguration({
    routes: [
      buildRoute({ name: "short", pathPrefix: "/a/" }),
      buildRoute({ name: "long", pathPrefix: "/a/b/" }),
      buildRoute({ name: "other", host: "b.example", pathPrefix: "/a/b/c/" }),
    ],
  }));
  t.is(table.getRoute("A.example:80", "/a/b/c/d?e=/f/")?.name, "long");
  t.is(table.getRoute("a.example", "/a/x")?.name, "short");
  t.is(table.getRoute("a.example", "/b/?x=/a/"), undefined);
  t.is(table.getRoute("c.example", "/a/"), undefined);
});

test("the same key always gets the same service, and services are chosen in proportion to their weights", (t) => {
  const shares = [{ service: "x", weight: 90 }, { service: "y", weight: 10 }];
  const route = buildRoute({ shares });
  const chosen = Array.from(
    { length: 5_000 },
    (_, index) => chooseService(route, `chat-${index}`),
  );
  t.is(chooseService(route, "chat-1"), chosen[1]!);
  const fraction = chosen.filter((service) => service === "y").length / 5_000;
  t.true(fraction > 0.08 && fraction < 0.12, String(fraction));
});
