/** Types of metrics. */

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

/** A number that only grows. */
export interface Counter {
  /** Adds to the number; 1 when left out. */
  add(amount?: number): void;
}

/** A number that is set. */
export interface Gauge {
  /** Sets the number. */
  set(value: number): void;
}

/** A distribution of durations. */
export interface Histogram {
  /** Records a duration in milliseconds. */
  record(ms: number): void;
  /** Reads a percentile in milliseconds. */
  percentile(share: number): number;
}

/** Options of a sampled number. */
export interface SampleOptions {
  readonly labels?: Labels;
  /** Whether the number only grows; false when left out. */
  readonly isCounter?: boolean;
}

/** All metrics of a process. */
export interface Metrics {
  /** Finds or makes a counter. */
  counter(name: string, help: string, labels?: Labels): Counter;
  /** Finds or makes a gauge. */
  gauge(name: string, help: string, labels?: Labels): Gauge;
  /** Adds a gauge or a counter whose number is read when the series are written. */
  sample(name: string, help: string, read: () => number, options?: SampleOptions): void;
  /** Finds or makes a histogram of milliseconds. */
  histogram(name: string, help: string, labels?: Labels): Histogram;
  /** Writes every series in Prometheus text format. */
  render(): string;
}
