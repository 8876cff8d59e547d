/** Value at a percentile (0 to 100) of unsorted values; 0 if there are none. */
export function computePercentile(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor((sorted.length * percentile) / 100));
  return sorted[index] ?? 0;
}

/** Mean of the values; 0 if there are none. */
export function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
