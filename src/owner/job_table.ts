import type { FramePort } from "../peer/frame_port.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";

/** A job and its upstream. */
export interface JobEntry {
  upstream: OwnedUpstream;
  job: Job;
}

/** Unfinished jobs, indexed by connection and exchange number. */
export class JobTable {
  private readonly jobs = new Map<FramePort, Map<number, JobEntry>>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): JobTable {
    return new JobTable();
  }

  /** Returns an unfinished job, or undefined if there is none.
   * @param port Connection to the entry router.
   * @param exchange Number of the exchange. */
  getEntry(port: FramePort, exchange: number): JobEntry | undefined {
    return this.jobs.get(port)?.get(exchange);
  }

  /** Returns the unfinished jobs of a connection.
   * @param port Connection to the entry router. */
  getEntries(port: FramePort): JobEntry[] {
    return [...this.jobs.get(port)?.values() ?? []];
  }

  /** Adds a job.
   * @param entry The job and its upstream. */
  add(entry: JobEntry): void {
    const { port, offer } = entry.job;
    const jobs = this.jobs.get(port) ?? new Map<number, JobEntry>();
    this.jobs.set(port, jobs.set(offer.exchange, entry));
  }

  /** Removes a finished job.
   * @param job The job. */
  delete(job: Job): void {
    const jobs = this.jobs.get(job.port);
    jobs?.delete(job.offer.exchange);
    if (jobs?.size === 0) this.jobs.delete(job.port);
  }
}
