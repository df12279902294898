/** Residual beyond which an observation counts no more than one at this distance, in mean absolute errors. */
const MAX_RESIDUAL_ERRORS = 3;
/** Weight of the latest residual in the mean absolute error. */
const ERROR_WEIGHT = 0.05;
/** Part of its initial variance that a coefficient regains with each observation, so that changes are followed. */
const VARIANCE_REGAIN = 0.001;

/** What is assumed of a coefficient before the first observation. */
export interface CoefficientPrior {
  mean: number;
  deviation: number;
}

/** Linear model of a duration whose coefficients are fitted to one observation after the other, by recursive least
 * squares. */
export class LinearEstimate {
  private readonly coefficients: number[];
  private readonly covariance: number[][];
  private error: number;

  private constructor(
    private readonly priors: readonly CoefficientPrior[],
    initialError: number,
  ) {
    this.coefficients = priors.map(({ mean }) => mean);
    this.covariance = priors.map(({ deviation }, row) =>
      priors.map((_, column) => row === column ? deviation ** 2 : 0)
    );
    this.error = initialError;
  }

  /** Creates an estimate without observations.
   * @param priors What is assumed of each coefficient.
   * @param initialError Assumed mean absolute error. */
  static create(
    priors: readonly CoefficientPrior[],
    initialError: number,
  ): LinearEstimate {
    return new LinearEstimate(priors, initialError);
  }

  /** Mean absolute error of recent predictions. */
  get meanError(): number {
    return this.error;
  }

  /** Returns a coefficient; no feature makes a duration shorter.
   * @param index Index of its feature. */
  getCoefficient(index: number): number {
    return Math.max(0, this.coefficients[index]!);
  }

  /** Returns the variance of a coefficient.
   * @param index Index of its feature. */
  getVariance(index: number): number {
    return this.covariance[index]![index]!;
  }

  /** Predicts the duration for some features.
   * @param features Value of each feature. */
  predict(features: readonly number[]): number {
    let sum = 0;
    for (let index = 0; index < features.length; index++) {
      sum += features[index]! * this.getCoefficient(index);
    }
    return sum;
  }

  /** Fits the coefficients to an observation.
   * @param features Value of each feature.
   * @param observed The observed duration. */
  update(features: readonly number[], observed: number): void {
    const residual = observed - dot(features, this.coefficients);
    const limit = MAX_RESIDUAL_ERRORS * this.error;
    const clipped = Math.max(-limit, Math.min(limit, residual));
    const gains = this.covariance.map((row) => dot(features, row));
    const variance = this.error ** 2 + dot(features, gains);
    for (let row = 0; row < features.length; row++) {
      this.coefficients[row]! += gains[row]! * clipped / variance;
      this.reduceVariance(row, gains, variance);
    }
    this.error += ERROR_WEIGHT * (Math.abs(residual) - this.error);
  }

  private reduceVariance(
    row: number,
    gains: readonly number[],
    variance: number,
  ): void {
    const covariances = this.covariance[row]!;
    for (let column = 0; column < gains.length; column++) {
      covariances[column]! -= gains[row]! * gains[column]! / variance;
    }
    const initial = this.priors[row]!.deviation ** 2;
    covariances[row] = Math.min(
      initial,
      covariances[row]! + VARIANCE_REGAIN * initial,
    );
  }
}

function dot(one: readonly number[], other: readonly number[]): number {
  let sum = 0;
  for (let index = 0; index < one.length; index++) {
    sum += one[index]! * other[index]!;
  }
  return sum;
}
