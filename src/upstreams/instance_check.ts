import type { Logger } from "../logging/logger.ts";
import type { InstanceReader } from "./instance_reader.ts";
import type { Upstream } from "./upstream.ts";

/** Dependencies of an {@link InstanceCheck}. */
export interface InstanceCheckOptions {
  logger: Logger;
  reader: InstanceReader;
  /** Returns the path of a service's liveness check; undefined if it has none. */
  getHealthPath: (service: string) => string | undefined;
}

/** Checks whether the instance that an upstream's address belonged to still answers there. */
export class InstanceCheck {
  /** Checks in progress, by upstream; a paused process reads the ends of many responses at once. */
  private readonly checks = new Map<Upstream, Promise<boolean>>();

  private constructor(private readonly options: InstanceCheckOptions) {}

  /** Creates a check.
   * @param options Its dependencies. */
  static create(options: InstanceCheckOptions): InstanceCheck {
    return new InstanceCheck(options);
  }

  /** Whether the same instance answers; false if that can't be decided.
   * @param upstream The upstream. */
  isSame(upstream: Upstream): Promise<boolean> {
    const running = this.checks.get(upstream);
    if (running) return running;
    const check = this.check(upstream)
      .finally(() => this.checks.delete(upstream));
    this.checks.set(upstream, check);
    return check;
  }

  private async check({ id, published }: Upstream): Promise<boolean> {
    const { logger, reader, getHealthPath } = this.options;
    const path = getHealthPath(published.service);
    if (path === undefined) return false;
    try {
      const found = await reader.readInstanceId(published.address, path);
      logger.info({ upstream: id, found }, "instance_checked");
      return found === id;
    } catch (error) {
      const detail = (error as Error).message;
      logger.info({ upstream: id, detail }, "instance_check_failed");
      return false;
    }
  }
}
