import process from "node:process";
import { command, option, optional, positional, string } from "cmd-ts";
import { request } from "undici";
import { EXIT_CODE } from "./exit_code.ts";

const router = positional({
  type: string,
  displayName: "router",
  description: "Address of a router, as ip:port",
});

/** `beechkeel status`: shows the status of a router. */
export const statusCommand = command({
  name: "status",
  description: "Show the status of a router.",
  args: { router },
  handler: (args) => printResponse(args.router, "/status", {}),
});

/** `beechkeel locate`: shows the router addresses that callers should use. */
export const locateCommand = command({
  name: "locate",
  description: "Ask a router which addresses callers should use.",
  args: {
    router,
    hall: option({
      long: "hall",
      type: optional(string),
      description: "Hall that the caller is near",
    }),
  },
  handler: ({ router, hall }) => printResponse(router, "/locate", { hall }),
});

/** `beechkeel audit`: shows recent audit records. */
export const auditCommand = command({
  name: "audit",
  description:
    "Show a router's recent audit records: documents and upstreams taken over.",
  args: {
    router,
    what: option({
      long: "what",
      type: optional(string),
      description: "Prefix of the subjects to show",
    }),
    limit: option({
      long: "limit",
      type: optional(string),
      description: "Maximum number of records to show",
    }),
  },
  handler: ({ router, what, limit }) =>
    printResponse(router, "/audit", { what, limit }),
});

/** `beechkeel explain`: shows which upstream a chat would be routed to, and why. */
export const explainCommand = command({
  name: "explain",
  description: "Show which upstream a chat would be routed to, and why.",
  args: {
    router,
    customer: option({
      long: "customer",
      type: string,
      description: "Customer, as partner/name",
    }),
    model: option({
      long: "model",
      type: optional(string),
      description: "Model, with its adapter as model+adapter",
    }),
    chat: option({ long: "chat", type: string, description: "Id of the chat" }),
  },
  handler: ({ router, customer, model, chat }) =>
    printResponse(router, "/explain", { customer, model, chat }),
});

async function printResponse(
  address: string,
  path: string,
  query: Record<string, string | undefined>,
): Promise<void> {
  const defined = Object.entries(query).filter((
    entry,
  ): entry is [string, string] => entry[1] !== undefined);
  try {
    const response = await request(
      `http://${address}${path}?${new URLSearchParams(defined)}`,
    );
    console.log(JSON.stringify(await response.body.json(), null, 2));
    if (response.statusCode !== 200) process.exitCode = EXIT_CODE.refused;
  } catch (error) {
    console.error(`${address}: ${(error as Error).message}`);
    process.exitCode = EXIT_CODE.unreachable;
  }
}
