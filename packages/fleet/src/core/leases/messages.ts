/** Messages between the holders of slot leases and the owners of engines, with their schemas and bounds. */
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

/** Bound on the leases of one daemon on one engine in a message. */
const MAX_LEASES_PER_ENGINE = 256;
const MAX_ENGINES = 1024;
const MAX_NAME_LENGTH = 256;

const boundedName = z.string().max(MAX_NAME_LENGTH);

/** Outcome of a lease request. */
export enum LeaseOutcome {
  Granted = 'granted',
  /** The daemon does not own the engine, or is not yet certain that it does. */
  NotOwner = 'not-owner',
  /** The engine is leaving, is unhealthy, or is draining the adapter's slot. */
  Unavailable = 'unavailable',
  /** The adapter is being loaded on another engine. */
  Moved = 'moved',
  /** The load failed too often. */
  LoadFailed = 'load-failed',
  /** Not granted yet; the holder sends the same request again. */
  Waiting = 'waiting',
  /** The request was cancelled. */
  Cancelled = 'cancelled',
}

const leaseRequest = z.object({
  engine: boundedName,
  key: boundedName,
  requestId: boundedName,
  /** Sequence number of the lease request, increasing within the holder's incarnation. */
  ask: z.number(),
  priority: z.number(),
  /** Longest wait for this response in milliseconds. */
  waitMs: z.number(),
  /** Milliseconds left until the request's deadline; null for none. */
  deadlineMs: z.number().nullable(),
});

/** A request for a lease on an engine's adapter. */
export type LeaseRequest = z.infer<typeof leaseRequest>;

/** Response to a lease request. */
export interface LeaseResponse {
  readonly outcome: LeaseOutcome;
  /** Validity of the lease in milliseconds from its grant; 0 when it was not granted. */
  readonly leaseMs: number;
  /** Milliseconds between the arrival of the message and the grant, by the owner's clock. */
  readonly waitedMs: number;
  /** Engine to ask instead, when the outcome is `Moved`. */
  readonly engine?: string | undefined;
}

const leaseCancel = z.object({ engine: boundedName, requestId: boundedName });

/** Cancellation of a lease request. */
export type LeaseCancel = z.infer<typeof leaseCancel>;

const heldLease = z.object({
  key: boundedName,
  /** Highest sequence number of a lease request that the holder had sent. */
  ask: z.number(),
  /** Requests that run under it. */
  running: z.number(),
});

const endedLease = z.object({
  key: boundedName,
  /** Highest sequence number of a lease request that the holder had sent when it ended the lease. */
  ask: z.number(),
  /** Whether it is certain that no request that was started under it still runs. */
  settled: z.boolean(),
});

/** A lease as its holder reports it. */
export type HeldLease = z.infer<typeof heldLease>;

/** A lease that its holder has ended. */
export type EndedLease = z.infer<typeof endedLease>;

const engineRenewal = z.object({
  engine: boundedName,
  held: z.array(heldLease).max(MAX_LEASES_PER_ENGINE),
  ended: z.array(endedLease).max(MAX_LEASES_PER_ENGINE),
});

/** Leases of one daemon on one engine: those that it holds and those that it has ended. */
export type EngineRenewal = z.infer<typeof engineRenewal>;

const leaseRenewal = z.object({ engines: z.array(engineRenewal).max(MAX_ENGINES) });

/** Leases of one daemon on the engines of one owner. */
export type LeaseRenewal = z.infer<typeof leaseRenewal>;

/** Response to the renewal on one engine. */
export interface EngineRenewalResponse {
  readonly engine: string;
  /** Whether the daemon may grant leases on the engine and applied the renewal. */
  readonly accepted: boolean;
  readonly leaseMs: number;
  /** Keys whose leases are no longer valid. */
  readonly refused: readonly string[];
}

/** Response to a renewal. */
export interface LeaseRenewalResponse {
  readonly engines: readonly EngineRenewalResponse[];
}

const leaseRecall = z.object({
  engine: boundedName,
  key: boundedName,
  /** Incarnation of the holder that the recall is meant for. */
  incarnation: z.number(),
  /** Whether the holder must stop starting requests under the lease even if some still run. */
  drain: z.boolean(),
});

/** Asks a holder to end a lease if no request runs under it. */
export type LeaseRecall = z.infer<typeof leaseRecall>;

/** Response to a recall; `ask` and `settled` are as in an ended lease. */
export interface LeaseRecallResponse {
  /** Whether the lease has ended. */
  readonly ended: boolean;
  readonly ask: number;
  readonly settled: boolean;
  readonly running: number;
}

/** Requests a lease; the response comes when it is granted or refused, or after `waitMs`. */
export const LEASE_REQUEST: PeerProcedure<LeaseRequest, LeaseResponse> = {
  name: 'lease.request',
  parse: (raw) => leaseRequest.parse(raw),
};

/** Cancels a lease request. */
export const LEASE_CANCEL: PeerProcedure<LeaseCancel, null> = {
  name: 'lease.cancel',
  parse: (raw) => leaseCancel.parse(raw),
};

/** Renews leases, and reports those that have ended. */
export const LEASE_RENEW: PeerProcedure<LeaseRenewal, LeaseRenewalResponse> = {
  name: 'lease.renew',
  parse: (raw) => leaseRenewal.parse(raw),
};

/** Recalls a lease from its holder. */
export const LEASE_RECALL: PeerProcedure<LeaseRecall, LeaseRecallResponse> = {
  name: 'lease.recall',
  parse: (raw) => leaseRecall.parse(raw),
};
