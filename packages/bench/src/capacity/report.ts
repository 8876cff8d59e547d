import { computeLine } from './fit.ts';
import { roles } from './roles.ts';
import type { Point, Role } from './roles.ts';
import type { Usage } from './sample.ts';

interface Metric {
  key: keyof Usage;
  label: string;
  budget: number;
}

const metrics: Metric[] = [
  { key: 'cpuPercent', label: 'core %', budget: 1.3 },
  { key: 'residentMb', label: 'resident MB', budget: 64 },
  { key: 'kilobytesPerSecond', label: 'KB/s', budget: 26 },
];

/** Formats the measurements of one size. */
function formatPoint(role: Role, point: Point): string {
  const values = metrics.map(({ key, label }) => `${point.usage[key].toFixed(2)} ${label}`);
  return `  ${String(point.x).padStart(5)} ${role.unit}: ${values.join(', ')} ${point.note}`;
}

/** Formats the fitted line of one metric and its value at the design size. */
function formatLine(role: Role, points: readonly Point[], metric: Metric): string {
  const { key, label, budget } = metric;
  const line = computeLine(points.map(({ x, usage }) => ({ x, y: usage[key] })));
  const atDesign = line.intercept + line.slope * role.designSize;
  const verdict = atDesign <= budget ? 'within' : `over by ${(atDesign - budget).toFixed(2)}`;
  const text = `${line.intercept.toFixed(3)} + ${line.slope.toFixed(5)} x`;
  return `  ${label.padEnd(12)} ${text.padEnd(24)} at ${role.designSize}: ${atDesign.toFixed(2)} (budget ${budget}, ${verdict})`;
}

/**
 * Measures the roles whose name contains `filter`; prints the measurements, the fitted lines and their
 * values at the design size.
 */
export async function runCapacity(filter: string): Promise<void> {
  for (const role of roles.filter(({ name }) => name.includes(filter))) {
    console.log(`${role.name}, by ${role.unit}`);
    const points: Point[] = [];
    for (const size of role.sizes) {
      const point = await role.measure(size);
      points.push(point);
      console.log(formatPoint(role, point));
    }
    for (const metric of metrics) console.log(formatLine(role, points, metric));
  }
}
