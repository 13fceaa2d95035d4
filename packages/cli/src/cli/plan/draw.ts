/** The plan as a time line: a row for each adapter, from its load over the start to the end of the event. */
import type { EventPlan, PlannedLoad } from '@celeryyoke/placement';

const ROW = 18;
const LABELS = 260;
const WIDTH = 1100;
const TOP = 40;
const RIGHT = 20;
/** The time before the start gets this share of the width; what comes after matters less. */
const BEFORE_SHARE = 0.6;
const TICKS = 6;
const MS_PER_SECOND = 1000;

const COLOURS = { prewarm: '#f5b041', event: '#5dade2', late: '#c0392b' };

/** Puts times on the picture: one scale before the first start, another after it. */
interface Scale {
  readonly from: number;
  readonly start: number;
  readonly to: number;
}

function xOf(scale: Scale, ms: number): number {
  const width = WIDTH - LABELS - RIGHT;
  const before = Math.max(1, scale.start - scale.from);
  const after = Math.max(1, scale.to - scale.start);
  if (ms <= scale.start) return LABELS + ((ms - scale.from) / before) * width * BEFORE_SHARE;
  return LABELS + width * (BEFORE_SHARE + ((ms - scale.start) / after) * (1 - BEFORE_SHARE));
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

function bar(scale: Scale, fromMs: number, toMs: number, y: number, colour: string): string {
  const x = xOf(scale, fromMs);
  const width = Math.max(1, xOf(scale, toMs) - x);
  return `<rect x="${x.toFixed(1)}" y="${y}" width="${width.toFixed(1)}" height="${ROW - 6}" fill="${colour}"/>`;
}

function* row(scale: Scale, load: PlannedLoad, index: number): Generator<string> {
  const y = TOP + index * ROW;
  const label = `${load.event}: ${load.key} on ${load.engine}`;
  yield `<text x="8" y="${y + ROW - 8}">${escapeText(label)}</text>`;
  const servesFrom = Math.max(load.startMs, load.readyAtMs);
  if (load.loadAtMs < load.startMs) yield bar(scale, load.loadAtMs, load.startMs, y, COLOURS.prewarm);
  if (load.lateMs > 0) yield bar(scale, load.startMs, servesFrom, y, COLOURS.late);
  yield bar(scale, servesFrom, load.endMs, y, COLOURS.event);
}

function* axis(scale: Scale, bottom: number): Generator<string> {
  for (let tick = 0; tick <= TICKS; tick += 1) {
    const ms = scale.from + ((scale.start - scale.from) * tick) / TICKS;
    const x = xOf(scale, ms).toFixed(1);
    const seconds = ((ms - scale.start) / MS_PER_SECOND).toFixed(0);
    yield `<line x1="${x}" x2="${x}" y1="${TOP - 4}" y2="${bottom}" stroke="#ddd"/>`;
    yield `<text x="${x}" y="${TOP - 8}" text-anchor="middle">${seconds} s</text>`;
  }
}

/**
 * Draws the plan.
 * @param plan - The plan.
 * @param atMs - Moment of the plan, milliseconds since the epoch.
 * @returns An SVG document.
 */
export function drawPlan(plan: EventPlan, atMs: number): string {
  const { loads } = plan;
  const start = Math.min(...loads.map(({ startMs }) => startMs), Infinity);
  const first = Math.min(...loads.map(({ loadAtMs }) => loadAtMs), start);
  const known = Number.isFinite(start) ? start : atMs;
  const scale: Scale = {
    from: Number.isFinite(first) ? first : atMs,
    start: known,
    to: Math.max(known + 1, ...loads.map(({ endMs }) => endMs)),
  };
  const bottom = TOP + Math.max(1, loads.length) * ROW;
  const title = `Seconds to ${new Date(known).toISOString()}; orange: loaded and kept, blue: serves, red: late`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${bottom + 12}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    `<text x="8" y="16">${title}</text>`,
    ...axis(scale, bottom),
    ...loads.flatMap((load, index) => [...row(scale, load, index)]),
    '</svg>',
    '',
  ].join('\n');
}
