/** A straight line through measured points. */
export interface Line {
  intercept: number;
  slope: number;
}

/** Fits a line by least squares; a single x gives a slope of 0. */
export function computeLine(points: readonly { x: number; y: number }[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const sumOfProducts = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
  return { intercept: meanY - slope * meanX, slope };
}
