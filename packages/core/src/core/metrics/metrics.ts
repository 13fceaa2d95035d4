/** Metrics over hdr-histogram-js, written in Prometheus text format. */
import type { Histogram as HdrHistogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

import { CeleryyokeError } from '../errors/index.js';
import type { Counter, Gauge, Histogram, Labels, Metrics, SampleOptions } from './types.js';

const MICROSECONDS_PER_MILLISECOND = 1000;
const HIGHEST_MICROSECONDS = 3_600_000_000;
const PERCENTILES = [50, 95, 99] as const;

interface Series {
  readonly name: string;
  readonly labels: Labels;
  lines(): string[];
}

interface Family {
  readonly help: string;
  readonly type: string;
  readonly series: Map<string, Series>;
}

const LABEL_ESCAPES: Readonly<Record<string, string>> = { '\\': '\\\\', '"': '\\"', '\n': '\\n' };

function escapeLabel(value: string): string {
  return value.replace(/[\\"\n]/g, (character) => LABEL_ESCAPES[character]!);
}

function escapeHelp(text: string): string {
  return text.replace(/[\\\n]/g, (character) => LABEL_ESCAPES[character]!);
}

function renderLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

/** Prometheus writes infinities its own way. */
function renderNumber(value: number): string {
  return Number.isFinite(value) || Number.isNaN(value) ? String(value) : `${value > 0 ? '+' : '-'}Inf`;
}

class NumberSeries implements Series, Counter, Gauge {
  private value = 0;

  constructor(
    readonly name: string,
    readonly labels: Labels,
  ) {}

  add(amount = 1): void {
    this.value += amount;
  }

  set(value: number): void {
    this.value = value;
  }

  lines(): string[] {
    return [`${this.name}${renderLabels(this.labels)} ${renderNumber(this.value)}`];
  }
}

class SampledSeries implements Series {
  constructor(
    readonly name: string,
    readonly labels: Labels,
    private readonly read: () => number,
  ) {}

  lines(): string[] {
    return [`${this.name}${renderLabels(this.labels)} ${renderNumber(this.read())}`];
  }
}

class HistogramSeries implements Series, Histogram {
  private readonly hdr: HdrHistogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });

  private sum = 0;

  constructor(
    readonly name: string,
    readonly labels: Labels,
  ) {}

  record(ms: number): void {
    const micros = Math.min(HIGHEST_MICROSECONDS, Math.max(0, Math.round(ms * MICROSECONDS_PER_MILLISECOND)));
    this.hdr.recordValue(micros);
    this.sum += ms;
  }

  percentile(share: number): number {
    return this.hdr.getValueAtPercentile(share) / MICROSECONDS_PER_MILLISECOND;
  }

  lines(): string[] {
    const quantiles = PERCENTILES.map(
      (share) =>
        `${this.name}${renderLabels({ ...this.labels, quantile: String(share / 100) })} ${this.percentile(share)}`,
    );
    const suffix = renderLabels(this.labels);
    return [
      ...quantiles,
      `${this.name}_sum${suffix} ${this.sum}`,
      `${this.name}_count${suffix} ${this.hdr.totalCount}`,
    ];
  }
}

class MetricsRegistry implements Metrics {
  private readonly families = new Map<string, Family>();

  counter(name: string, help: string, labels: Labels = {}): Counter {
    return this.find(name, help, 'counter', labels, () => new NumberSeries(name, labels));
  }

  gauge(name: string, help: string, labels: Labels = {}): Gauge {
    return this.find(name, help, 'gauge', labels, () => new NumberSeries(name, labels));
  }

  histogram(name: string, help: string, labels: Labels = {}): Histogram {
    return this.find(name, help, 'summary', labels, () => new HistogramSeries(name, labels));
  }

  sample(name: string, help: string, read: () => number, options: SampleOptions = {}): void {
    const { labels = {}, isCounter = false } = options;
    const type = isCounter ? 'counter' : 'gauge';
    this.find(name, help, type, labels, () => new SampledSeries(name, labels, read));
  }

  render(): string {
    const lines: string[] = [];
    for (const [name, family] of this.families) {
      lines.push(`# HELP ${name} ${escapeHelp(family.help)}`, `# TYPE ${name} ${family.type}`);
      for (const series of family.series.values()) lines.push(...series.lines());
    }
    return `${lines.join('\n')}\n`;
  }

  private find<T extends Series>(name: string, help: string, type: string, labels: Labels, make: () => T): T {
    let family = this.families.get(name);
    if (family === undefined) {
      family = { help, type, series: new Map() };
      this.families.set(name, family);
    }
    if (family.type !== type) throw new CeleryyokeError('MetricTwice', { name, type, other: family.type });
    const key = renderLabels(labels);
    let series = family.series.get(key);
    if (series === undefined) {
      series = make();
      family.series.set(key, series);
    }
    return series as T;
  }
}

/**
 * Makes an empty set of metrics.
 * @returns The set.
 */
export function createMetrics(): Metrics {
  return new MetricsRegistry();
}
