// Starts gateways as the deploy file does, on loopback addresses of their own.
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startChild } from "./children.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

async function isFree(ip, port) {
  return await new Promise((resolve) => {
    const probe = createServer();
    probe.once("error", () => resolve(false));
    probe.listen(port, ip, () => probe.close(() => resolve(true)));
  });
}

/** Port that the deploy file gives to the metrics. */
const METRICS_PORT = 9464;
/** Ports that a gateway listens on, from the first. */
const PORTS = 5;

/** Returns the first of some free ports. */
async function findBase(ip) {
  if (!(await isFree(ip, METRICS_PORT))) throw new Error(`port ${METRICS_PORT} is in use`);
  for (;;) {
    const base = 20_000 + Math.floor(Math.random() * 8_000);
    const areFree = await Promise.all(Array.from({ length: PORTS }, (_, index) => isFree(ip, base + index)));
    if (!areFree.includes(false)) return base;
  }
}

export class Gateways {
  list = [];
  folder = mkdtempSync(join(tmpdir(), "beechkeel-review-"));

  constructor(storeAddress, changes) {
    this.storeAddress = storeAddress;
    this.changes = changes;
  }

  /** Starts `count` gateways and waits until each is ready. */
  static async start(count, storeAddress, changes = {}) {
    const gateways = new Gateways(storeAddress, changes);
    const net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const base = await findBase(`${net}.1`);
    for (let index = 0; index < count; index++) {
      const ip = `${net}.${index + 1}`;
      gateways.list.push({ name: `edge-${index + 1}`, ip, zone: ["kariakoo", "mikocheni", "temeke"][index % 3] });
    }
    gateways.base = base;
    for (const gateway of gateways.list) gateways.spawn(gateway, true);
    await Promise.all(gateways.list.map((gateway) => gateways.waitReady(gateway)));
    return gateways;
  }

  /** Fields of the settings file, with the values of the site file kilima-rota. */
  settings(gateway, isFirst) {
    const { base } = this;
    const { ip, name, zone } = gateway;
    return {
      node_name: name, role: "gateway", machine_class: "edge", serves: "edge,control_plane,registry",
      ip, zone, region: "dar",
      "zones.kariakoo": "dar", "zones.mikocheni": "dar", "zones.temeke": "dar",
      "listen.front": `${ip}:${base}`, "listen.readiness": `${ip}:${base + 1}`,
      "listen.control": `${ip}:${base + 2}`, "listen.directory": `${ip}:${base + 3}`,
      port_range: `${base + 4},${base + 19}`,
      seeds: this.list.slice(0, 3).map((seed) => `${seed.ip}:${base + 2}`).join(","),
      bootstrap: String(isFirst), in_tolerance: "false",
      "limits.cpu_share": "0.675", "limits.cores": "1", "limits.memory_mb": "350", "limits.max_fds": "4100",
      "limits.link_mbps": "1000.0", "limits.disk_mb": "0", discovery: "platform", entry: "registry",
      heartbeat_ms: "1200",
      "bounds.seed_lag_s": "3", "bounds.reuse_after_s": "2", "bounds.contact_ms": "3000", "bounds.ack_ms": "4000",
      "bounds.catch_up_s": "4", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.loss_slack_ms": "200",
      "bounds.config_apply_ms": "2000", "bounds.rollback_slack_ms": "250", "bounds.max_stretch_ms": "5000",
      "bounds.strict_revoke": "true", "bounds.revoke_ms": "5000", "bounds.retry_ratio": "0.2",
      "bounds.retry_window_s": "10", "bounds.retry_extra": "54", "bounds.recover_s": "12",
      "bounds.iteration_ms": "120", "bounds.retry_after_s": "10", "bounds.cap_factor": "2", "bounds.ttl_max_s": "5",
      "platform.address": gateway.storeAddress ?? this.storeAddress, "platform.form": "read", "platform.writes_per_s": "400",
      "platform.reads_per_s": "2000", "platform.history_s": "20", "platform.value_bytes": "1048576",
      "platform.ttl_min_ms": "1000",
      ...this.changes,
    };
  }

  /** Runs the command of the deploy file for one machine. */
  spawn(gateway, isFirst) {
    const path = join(this.folder, `${gateway.name}.conf`);
    const lines = Object.entries(this.settings(gateway, isFirst)).map(([key, value]) => `${key}=${value}`);
    writeFileSync(path, lines.join("\n") + "\n");
    const child = startChild(process.execPath, ["target/beechkeel.cjs", "gateway"], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BEECHKEEL_NODE_FILE: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    gateway.log ??= createWriteStream(join(this.folder, `${gateway.name}.log`));
    child.stdout.pipe(gateway.log, { end: false });
    child.stderr.pipe(gateway.log, { end: false });
    child.once("exit", (code, signal) => gateway.exit = { code, signal });
    gateway.exit = undefined;
    gateway.settingsPath = path;
    gateway.child = child;
    gateway.front = { host: gateway.ip, port: this.base };
  }

  isReady(gateway) {
    return new Promise((resolve) => {
      const asked = request({ host: gateway.ip, port: this.base + 1, path: "/readyz", agent: false, timeout: 500 });
      asked.on("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      asked.on("timeout", () => asked.destroy());
      asked.on("error", () => resolve(false));
      asked.end();
    });
  }

  async waitReady(gateway) {
    for (let tries = 0; tries < 100; tries++) {
      if (await this.isReady(gateway)) return;
      if (gateway.exit) throw new Error(`${gateway.name} ended: ${JSON.stringify(gateway.exit)}`);
      await delay(100);
    }
    throw new Error(`${gateway.name} is not ready`);
  }

  async close(keepsLogs = process.env.KEEP_LOGS === "1") {
    for (const { child } of this.list) child.kill("SIGKILL");
    await delay(100);
    if (keepsLogs) console.error(`logs: ${this.folder}`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}
