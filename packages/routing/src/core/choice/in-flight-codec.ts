/**
 * Encodes reports of requests in flight as arrays without field names, as each admission request carries one.
 */
import type { InFlightReport } from './in-flight.js';

/** A report as it is sent between daemons. */
export type InFlightFrame = readonly [
  isWhole: boolean,
  replicas: readonly (readonly [replica: string, running: number, waiting: number])[],
  adapters: readonly (readonly [replica: string, key: string, running: number, begun: number])[],
];

/** Encodes a report. */
export function encodeInFlight({ isWhole, replicas, adapters }: InFlightReport): InFlightFrame {
  return [
    isWhole,
    replicas.map(({ replica, running, waiting }) => [replica, running, waiting]),
    adapters.map(({ replica, key, running, begun }) => [replica, key, running, begun]),
  ];
}

/** Decodes a report. */
export function decodeInFlight([isWhole, replicas, adapters]: InFlightFrame): InFlightReport {
  return {
    isWhole,
    replicas: replicas.map(([replica, running, waiting]) => ({ replica, running, waiting })),
    adapters: adapters.map(([replica, key, running, begun]) => ({ replica, key, running, begun })),
  };
}
