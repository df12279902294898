import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { request } from "undici";
import { randomUUID } from "node:crypto";
import type { TestGateway } from "./with_gateways.ts";

/** The response that a caller received. */
export interface CallResult {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
}

/** Sends a request as a caller does.
 * @param gateway The gateway to send it to.
 * @param key Key of a customer.
 * @param changes Path, headers and body that differ from the defaults. */
export async function call(
  gateway: TestGateway,
  key: string,
  changes: {
    path?: string;
    headers?: Record<string, string>;
    body?: string;
    signal?: AbortSignal;
  } = {},
): Promise<CallResult> {
  const path = changes.path ?? "/a/b?c=d";
  const response = await request(
    `http://${gateway.settings.callerAddress}${path}`,
    {
      method: "POST",
      headers: {
        host: "a.example",
        "x-beechkeel-attempt-id": randomUUID(),
        "x-beechkeel-deadline-ms": "8000",
        "x-api-key": key,
        ...changes.headers,
      },
      body: changes.body ?? "a body",
      signal: changes.signal,
    },
  );
  return {
    status: response.statusCode,
    headers: response.headers,
    body: await response.body.text(),
  };
}

/** Looks up the addresses to use; returns an empty list if the gateway knows none.
 * @param gateway The gateway to ask. */
export async function locate(gateway: TestGateway): Promise<string[]> {
  const response = await request(
    `http://${gateway.settings.locateAddress}/lookup?name=a.example&region=x&zone=h`,
  );
  if (response.statusCode !== 200) {
    await response.body.dump();
    return [];
  }
  const list = await response.body.json() as { addresses: string[] };
  return list.addresses.sort();
}

/** Opens a connection to the address for callers' requests.
 * @param gateway The gateway. */
export async function openConnection(gateway: TestGateway): Promise<Socket> {
  const [host, port] = gateway.settings.callerAddress.split(":");
  const socket = connect(Number(port), host!);
  await once(socket, "connect");
  return socket;
}

/** Sends raw bytes and returns everything received until the connection closes.
 * @param gateway The gateway to send them to.
 * @param text The bytes.
 * @param address Address to send them to; that for callers' requests by default. */
export async function sendRaw(
  gateway: TestGateway,
  text: string,
  address = gateway.settings.callerAddress,
): Promise<string> {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host!);
  const parts: Buffer[] = [];
  socket.on("data", (part) => parts.push(part));
  socket.on("error", () => undefined);
  socket.write(text);
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
  return Buffer.concat(parts).toString();
}
