import { hashText } from "../hashing/hasher.ts";

/** Time for which a statement counts if no later one is known, in milliseconds. */
const STATEMENT_TTL_MS = 10_000;

/** What the upstreams of a service last stated about declines: hash of the service's name, maximum number of requests
 * per second that each can decline without failing, 0 if they state no limit, and the age of the statement in
 * milliseconds. */
export type DeclineLimit = [service: number, limit: number, agoMs: number];

/** Called when what a service states has changed, with the hash of its name and the limit; 0 if it states none. */
export type OnDeclineLimitChange = (service: number, limit: number) => void;

interface Statement {
  limit: number;
  /** Monotonic milliseconds. */
  at: number;
}

/** The numbers of requests per second that the upstreams of a service can decline without failing, as they last stated
 * in their responses to any host. */
export class DeclineLimits {
  private readonly statements = new Map<number, Statement>();

  private constructor(private readonly onChange: OnDeclineLimitChange) {}

  /** Creates limits without statements.
   * @param onChange Called when what a service states has changed. */
  static create(
    onChange: OnDeclineLimitChange = () => undefined,
  ): DeclineLimits {
    return new DeclineLimits(onChange);
  }

  /** Returns the limit for each upstream of a service; undefined if there is none.
   * @param service Name of the service.
   * @param now Monotonic milliseconds. */
  getLimit(service: string, now: number): number | undefined {
    const statement = this.statements.get(hashText(service));
    if (!statement || now - statement.at > STATEMENT_TTL_MS) return undefined;
    return statement.limit > 0 ? statement.limit : undefined;
  }

  /** Records a response of an upstream. A response without a limit is only recorded if one is known.
   * @param service Name of the service.
   * @param limit The stated limit; undefined if the response states none.
   * @param now Monotonic milliseconds. */
  record(service: string, limit: number | undefined, now: number): void {
    const name = hashText(service);
    if (limit === undefined && !this.statements.has(name)) return;
    this.set(name, { limit: limit ?? 0, at: now });
  }

  /** Merges the statements that another host knows; the latest counts.
   * @param limits The statements.
   * @param sentAt Monotonic milliseconds at which the other host sent them, as far as is known. */
  merge(limits: readonly DeclineLimit[], sentAt: number): void {
    for (const [service, limit, agoMs] of limits) {
      const at = sentAt - Math.max(0, agoMs);
      const known = this.statements.get(service);
      if (!known || at > known.at) this.set(service, { limit, at });
    }
  }

  /** Returns the statements that still count, for other hosts.
   * @param now Monotonic milliseconds. */
  getStatements(now: number): DeclineLimit[] {
    for (const [service, { at }] of this.statements) {
      if (now - at > STATEMENT_TTL_MS) this.statements.delete(service);
    }
    return [...this.statements].map(([service, { limit, at }]) => [
      service,
      limit,
      Math.round(now - at),
    ]);
  }

  private set(service: number, statement: Statement): void {
    const limitBefore = this.statements.get(service)?.limit ?? 0;
    this.statements.set(service, statement);
    if (statement.limit !== limitBefore) {
      this.onChange(service, statement.limit);
    }
  }
}
