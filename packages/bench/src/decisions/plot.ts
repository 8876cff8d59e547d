import type { Difference } from './compare.ts';

/** A labelled row of the plot. */
export interface PlotRow {
  label: string;
  difference: Difference;
}

const widthPx = 720;
const rowPx = 22;
const labelPx = 220;
const marginPx = 30;

/** Renders mean differences with their confidence intervals as an SVG image. */
export function renderPlot(title: string, rows: readonly PlotRow[]): string {
  const maxExtent = Math.max(
    0.01,
    ...rows.map(({ difference }) => Math.abs(difference.mean) + difference.halfWidth),
  );
  const middlePx = labelPx + (widthPx - labelPx - marginPx) / 2;
  const scale = (widthPx - labelPx - marginPx) / 2 / maxExtent;
  const heightPx = rows.length * rowPx + 2 * marginPx;
  const lines = rows.map(({ label, difference: { mean, halfWidth } }, index) => {
    const y = marginPx + index * rowPx + rowPx / 2;
    const [low, at, high] = [mean - halfWidth, mean, mean + halfWidth].map(
      (value) => middlePx + value * scale,
    );
    return [
      `<text x="8" y="${y + 4}">${label}</text>`,
      `<line x1="${low}" x2="${high}" y1="${y}" y2="${y}" stroke="black"/>`,
      `<circle cx="${at}" cy="${y}" r="4"/>`,
    ].join('');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" font-family="sans-serif" font-size="12">`,
    `<text x="8" y="16">${title}, full width ${(2 * maxExtent).toFixed(3)}</text>`,
    `<line x1="${middlePx}" x2="${middlePx}" y1="${marginPx}" y2="${heightPx - marginPx}" stroke="grey"/>`,
    ...lines,
    '</svg>\n',
  ].join('\n');
}
