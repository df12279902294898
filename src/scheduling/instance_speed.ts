/** Variance of the logarithm of the speeds of a service's upstreams that is assumed before any is known. */
const SPEED_VARIANCE = 0.0225;
/** Maximum weight of earlier observations, so that a lasting change is followed. */
const MAX_OBSERVATIONS = 60;
/** Maximum absolute logarithm of the ratio that one observation counts with. */
const MAX_LOG_RATIO = 1;
/** Weight of the latest report in the mean slowdown. */
const SLOWDOWN_WEIGHT = 0.1;
/** Time after which a reported slowdown has lost most of its meaning, in milliseconds. */
const SLOWDOWN_DECAY_MS = 150;

/** Learned speed of one upstream instance, relative to the usual time of its service's upstreams. */
export class InstanceSpeed {
  private observations = 0;
  private meanLogRatio = 0;
  private slowdownMean: number | undefined;

  private constructor() {}

  /** Creates the speed of an instance without observations. */
  static create(): InstanceSpeed {
    return new InstanceSpeed();
  }

  /** Returns the expected time of a unit of work relative to the usual time. The fewer observations there are, the
   * nearer it is to 1.
   * @param noiseVariance Variance of the logarithm of single observations. */
  getTimeFactor(noiseVariance: number): number {
    const { observations, meanLogRatio } = this;
    const trust = observations /
      (observations + noiseVariance / SPEED_VARIANCE);
    return Math.exp(trust * meanLogRatio);
  }

  /** Records the time of one piece of work and returns its logarithmic ratio.
   * @param observedMs Time that it took, in milliseconds.
   * @param usualMs Time that it usually takes, in milliseconds. */
  record(observedMs: number, usualMs: number): number {
    const logRatio = Math.log(Math.max(1, observedMs) / Math.max(1, usualMs));
    const clipped = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
    this.observations = Math.min(MAX_OBSERVATIONS, this.observations + 1);
    this.meanLogRatio += (clipped - this.meanLogRatio) / this.observations;
    return clipped;
  }

  /** Records a slowdown that the upstream reported.
   * @param slowdown Time of a unit of work relative to the usual time. */
  recordSlowdown(slowdown: number): void {
    this.slowdownMean ??= 1;
    this.slowdownMean += SLOWDOWN_WEIGHT * (slowdown - this.slowdownMean);
  }

  /** Returns the slowdown to expect relative to the instance's mean, which its speed includes. The latest report counts
   * less the older it is.
   * @param slowdown Latest reported slowdown.
   * @param ageMs Age of the report, in milliseconds. */
  getSlowdownRatio(slowdown: number, ageMs: number): number {
    const mean = this.slowdownMean ?? 1;
    const weight = Math.exp(-ageMs / SLOWDOWN_DECAY_MS);
    return 1 + (slowdown / mean - 1) * weight;
  }
}
