import { request } from "undici";
import type { FakeEngine } from "../../fakes/fake_engine.ts";
import type { Fleet } from "../../tools/fleet.ts";
import type { RouterProcess } from "../../tools/router_process.ts";

/** Engine and routers that serve a chat. */
export interface ChatPlacement {
  engine: FakeEngine;
  owner: RouterProcess;
  /** A router other than the owner. */
  entry: RouterProcess;
}

/** Asks a router which engine would serve a chat and which router owns that engine.
 * @param fleet The fleet.
 * @param chat Id of a chat of customer kilima/rosters. */
export async function findPlacement(
  fleet: Fleet,
  chat: string,
): Promise<ChatPlacement> {
  const address = fleet.routers[0]!.address;
  const response = await request(
    `http://${address}/explain?customer=kilima/rosters&model=m1&chat=${chat}`,
  );
  const { candidates } = await response.body.json() as {
    candidates: { engine: string; owners: string[] }[];
  };
  const [first] = candidates;
  const engine = fleet.engines.find((candidate) =>
    candidate.options.id === first?.engine
  )!;
  const owner = fleet.getRouterOrThrow(first!.owners[0]!);
  return {
    engine,
    owner,
    entry: fleet.routers.find((router) => router !== owner)!,
  };
}
