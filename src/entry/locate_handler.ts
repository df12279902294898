import type { RouterView } from "../membership/fleet_view.ts";
import { Random } from "../random/random.ts";
import { checkServing } from "./caller_checks.ts";
import type { EntryContext, Exchange } from "./entry_context.ts";
import { sendJson } from "./send_json.ts";

/** Least part of the configured lifetime that an answer gets, so that callers do not all ask again at once. */
const LEAST_LIFETIME_PART = 0.5;

const random = Random.create();

/** Tells a caller which addresses to use and for how long.
 * @param context What the handler works with.
 * @param exchange The caller's request; its query may name the hall it is near. */
export function handleLocate(context: EntryContext, exchange: Exchange): void {
  checkServing(context);
  const { settings } = context;
  const hall = exchange.url.searchParams.get("hall") ?? settings.hall;
  const part = LEAST_LIFETIME_PART +
    (1 - LEAST_LIFETIME_PART) * random.fraction();
  sendJson(exchange.response, 200, {
    addresses: chooseRouters(context, hall).map((router) =>
      `${router.host.address}:${router.host.port}`
    ),
    lifetimeMs: Math.round(settings.locate.lifetimeMs * part),
  });
}

/** Routers for a caller, in random order: those of its hall first, then those of the region, then the others. */
function chooseRouters(context: EntryContext, hall: string): RouterView[] {
  const usable = context.getView().routers.filter((router) =>
    router.heard && !router.unavailable
  );
  const shuffled = random.shuffle(usable);
  const distance = (router: RouterView) => {
    if (router.host.hall === hall) return 0;
    return router.host.region === context.settings.region ? 1 : 2;
  };
  return shuffled.sort((a, b) => distance(a) - distance(b)).slice(
    0,
    context.settings.locate.addresses,
  );
}
