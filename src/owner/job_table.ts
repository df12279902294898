import type { FramePort } from "../peer/frame_port.ts";
import type { Job } from "./job.ts";
import type { OwnedUpstream } from "./owned_upstream.ts";

/** A job with the upstream it is for. */
export interface JobEntry {
  upstream: OwnedUpstream;
  job: Job;
}

/** The jobs that are not over, by the connection they came over and their exchange. */
export class JobTable {
  private readonly jobs = new Map<FramePort, Map<number, JobEntry>>();

  private constructor() {}

  /** Creates an empty table. */
  static create(): JobTable {
    return new JobTable();
  }

  /** Returns a job, or nothing where it is over.
   * @param port Connection to the entry.
   * @param exchange Number of the exchange. */
  getEntry(port: FramePort, exchange: number): JobEntry | undefined {
    return this.jobs.get(port)?.get(exchange);
  }

  /** The jobs that came over one connection.
   * @param port Connection to the entry. */
  getEntries(port: FramePort): JobEntry[] {
    return [...this.jobs.get(port)?.values() ?? []];
  }

  /** Adds a job.
   * @param entry The job with its upstream. */
  add(entry: JobEntry): void {
    const { port, offer } = entry.job;
    const jobs = this.jobs.get(port) ?? new Map<number, JobEntry>();
    this.jobs.set(port, jobs.set(offer.exchange, entry));
  }

  /** Removes a job that is over.
   * @param job The job. */
  delete(job: Job): void {
    const jobs = this.jobs.get(job.port);
    jobs?.delete(job.offer.exchange);
    if (jobs?.size === 0) this.jobs.delete(job.port);
  }
}
