import { Failure } from "../errors/failure.ts";
import { handleChat } from "./chat_handler.ts";
import type { RequestHandler } from "./entry_context.ts";
import { handleLocate } from "./locate_handler.ts";
import {
  handleAudit,
  handleExplain,
  handleHealth,
  handleStatus,
} from "./operator_handlers.ts";
import { handleService, SERVICE_PREFIX } from "./service_handler.ts";

/** Request handlers by path and method. */
const ROUTES: Readonly<
  Record<string, Readonly<Record<string, RequestHandler>>>
> = {
  "/v1/chat/completions": { POST: handleChat },
  "/locate": { GET: handleLocate },
  "/health": { GET: handleHealth },
  "/status": { GET: handleStatus },
  "/audit": { GET: handleAudit },
  "/explain": { GET: handleExplain },
};

/** Returns the handler of a request; throws if the path or the method is unknown.
 * @param method The request's method.
 * @param path The request's path. */
export function getHandlerOrThrow(
  method: string,
  path: string,
): RequestHandler {
  if (path.startsWith(SERVICE_PREFIX)) return handleService;
  const methods = Object.hasOwn(ROUTES, path) ? ROUTES[path] : undefined;
  if (!methods) throw Failure.create("not_found", `path: ${path}`);
  const handler = methods[method];
  if (!handler) throw Failure.create("method_not_allowed", `method: ${method}`);
  return handler;
}
