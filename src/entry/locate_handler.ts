import type { RouterView } from "../membership/fleet_view.ts";
import { Random } from "../random/random.ts";
import { assertServing } from "./caller_checks.ts";
import type { EntryContext, HttpExchange } from "./entry_context.ts";
import { sendJson } from "./send_json.ts";

/** Minimum fraction of the configured lifetime in a response.
 * The fraction is random, so that callers do not all ask again at the same time. */
const MIN_LIFETIME_FRACTION = 0.5;

const random = Random.create();

/** Responds with the router addresses that a caller should use, and how long they are valid.
 * @param context Dependencies of the handler.
 * @param exchange The request, whose query may contain the caller's `hall`, and its response. */
export function handleLocate(
  context: EntryContext,
  exchange: HttpExchange,
): void {
  assertServing(context);
  const { settings } = context;
  const hall = exchange.url.searchParams.get("hall") ?? settings.hall;
  const lifetimeFraction = MIN_LIFETIME_FRACTION +
    (1 - MIN_LIFETIME_FRACTION) * random.fraction();
  sendJson(exchange.response, 200, {
    addresses: chooseRouters(context, hall).map((router) =>
      `${router.host.address}:${router.host.port}`
    ),
    lifetimeMs: Math.round(settings.locate.lifetimeMs * lifetimeFraction),
  });
}

/** Chooses routers for a caller, in random order within each group.
 * Routers of the caller's hall come first, then those of this router's region, then the others. */
function chooseRouters(context: EntryContext, hall: string): RouterView[] {
  const available = context.getView().routers.filter((router) =>
    router.heard && !router.unavailable
  );
  const shuffled = random.shuffle(available);
  const getDistance = (router: RouterView) => {
    if (router.host.hall === hall) return 0;
    return router.host.region === context.settings.region ? 1 : 2;
  };
  return shuffled.sort((a, b) => getDistance(a) - getDistance(b)).slice(
    0,
    context.settings.locate.addresses,
  );
}
