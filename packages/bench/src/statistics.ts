/**
 * Returns the middle value, or the mean of the middle two for an even count.
 */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}

/**
 * Returns the nearest-rank quantile for a share from 0 to 1; 0 if there are no
 * values.
 */
export function getQuantile(values: readonly number[], share: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, index))];
}

/** A straight line fitted by least squares. */
export interface LinearFit {
  slope: number;
  intercept: number;
}

export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}
