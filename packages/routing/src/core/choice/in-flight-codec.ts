/** The compact form of a report of requests in flight: it goes with each request, so names are left out. */
import type { InFlightReport } from './in-flight.js';

/** A report between daemons. */
export type InFlightFrame = readonly [
  isWhole: boolean,
  replicas: readonly (readonly [replica: string, running: number, waiting: number])[],
  adapters: readonly (readonly [replica: string, key: string, running: number, begun: number])[],
];

/**
 * Encodes a report.
 * @param report - The report.
 * @returns Its compact form.
 */
export function encodeInFlight({ isWhole, replicas, adapters }: InFlightReport): InFlightFrame {
  return [
    isWhole,
    replicas.map(({ replica, running, waiting }) => [replica, running, waiting]),
    adapters.map(({ replica, key, running, begun }) => [replica, key, running, begun]),
  ];
}

/**
 * Decodes a report.
 * @param frame - Its compact form.
 * @returns The report.
 */
export function decodeInFlight([isWhole, replicas, adapters]: InFlightFrame): InFlightReport {
  return {
    isWhole,
    replicas: replicas.map(([replica, running, waiting]) => ({ replica, running, waiting })),
    adapters: adapters.map(([replica, key, running, begun]) => ({ replica, key, running, begun })),
  };
}
