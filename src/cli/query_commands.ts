import process from "node:process";
import { command, option, optional, positional, string } from "cmd-ts";
import { request } from "undici";
import { EXIT_CODE } from "./exit_code.ts";

const router = positional({
  type: string,
  displayName: "router",
  description: "Address of a router, as ip:port",
});

/** `beechkeel status`: shows what a router sees and does. */
export const statusCommand = command({
  name: "status",
  description: "Show what a router sees and does.",
  args: { router },
  handler: (args) => printAnswer(args.router, "/status", {}),
});

/** `beechkeel locate`: asks which addresses to use. */
export const locateCommand = command({
  name: "locate",
  description: "Ask a router which addresses callers should use.",
  args: {
    router,
    hall: option({
      long: "hall",
      type: optional(string),
      description: "Hall the caller is near",
    }),
  },
  handler: ({ router, hall }) => printAnswer(router, "/locate", { hall }),
});

/** `beechkeel audit`: shows recent changes. */
export const auditCommand = command({
  name: "audit",
  description:
    "Show a router's recent changes: documents, upstreams taken over, orders.",
  args: {
    router,
    what: option({
      long: "what",
      type: optional(string),
      description: "Only subjects that start with this",
    }),
    limit: option({
      long: "limit",
      type: optional(string),
      description: "Most records shown",
    }),
  },
  handler: ({ router, what, limit }) =>
    printAnswer(router, "/audit", { what, limit }),
});

/** `beechkeel explain`: shows where a chat would go and why. */
export const explainCommand = command({
  name: "explain",
  description: "Show where a chat would go and why.",
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
    printAnswer(router, "/explain", { customer, model, chat }),
});

async function printAnswer(
  address: string,
  path: string,
  query: Record<string, string | undefined>,
): Promise<void> {
  const given = Object.entries(query).filter((
    entry,
  ): entry is [string, string] => entry[1] !== undefined);
  try {
    const response = await request(
      `http://${address}${path}?${new URLSearchParams(given)}`,
    );
    console.log(JSON.stringify(await response.body.json(), null, 2));
    if (response.statusCode !== 200) process.exitCode = EXIT_CODE.refused;
  } catch (error) {
    console.error(`${address}: ${(error as Error).message}`);
    process.exitCode = EXIT_CODE.unreachable;
  }
}
