import type { UpstreamInstance } from "../../src/crashes/crash_detector.ts";

/** One start of an upstream in virtual time. */
export interface VirtualInstance extends UpstreamInstance {
  isRunning: boolean;
}

/** The instances of upstreams in virtual time that run or have not been replaced since their crash. */
export class VirtualInstances {
  private instances: VirtualInstance[] = [];
  private count = 0;

  /** Starts upstreams.
   * @param number Their number. */
  start(number: number): void {
    for (let started = 0; started < number; started++) {
      this.count += 1;
      this.instances.push({
        id: `u-${this.count}`,
        instanceHash: this.count,
        address: "",
        isEndExpected: false,
        isRunning: true,
      });
    }
  }

  /** Returns the running instances. */
  getRunning(): VirtualInstance[] {
    return this.instances.filter(({ isRunning }) => isRunning);
  }

  /** Returns an instance that has not been replaced.
   * @param instanceHash Its hash. */
  find(instanceHash: number): VirtualInstance | undefined {
    return this.instances.find((instance) =>
      instance.instanceHash === instanceHash
    );
  }

  /** Starts an upstream for a crashed instance.
   * @param crashed The instance. */
  replace(crashed: VirtualInstance): void {
    this.instances = this.instances.filter((instance) => instance !== crashed);
    this.start(1);
  }
}
