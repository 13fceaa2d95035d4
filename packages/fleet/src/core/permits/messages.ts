/** Messages between the owners of engines and the owners of weight stores; times are relative. */
import type { EngineOffer, LoadWant } from '@celeryyoke/placement';
import { PermitOutcome } from '@celeryyoke/placement';
import { z } from 'zod';

import type { PeerProcedure } from '../peers/index.js';

/** Most loads that an engine asks for at once; the rest is asked for when these are done. */
const MOST_WANTS = 32;
const MOST_VICTIMS = 16;
const MOST_ENGINES = 1024;
const MOST_NAME = 256;

const name = z.string().max(MOST_NAME);

const wireWant = z.object({
  key: name,
  model: name,
  replica: z.boolean(),
  waiting: z.number(),
  ageMs: z.number(),
  deadlineMs: z.number().nullable(),
  priority: z.number(),
  eventMs: z.number().nullable(),
  popularity: z.number(),
});

const wireRoom = z.object({
  engine: name,
  model: name,
  free: z.number(),
  victims: z.array(z.object({ key: name, value: z.number() })).max(MOST_VICTIMS),
  running: z.number(),
  batch: z.number(),
  warmth: z.number(),
});

const wireOffer = z.object({
  engine: name,
  wants: z.array(wireWant).max(MOST_WANTS),
  room: wireRoom.nullable(),
  /** Whether the engine loads from the store now. */
  loading: z.boolean(),
});

/** What one engine wants, with times relative to the message. */
export type WireOffer = z.infer<typeof wireOffer>;

type WireWant = z.infer<typeof wireWant>;

const permitRequest = z.object({
  store: name,
  offers: z.array(wireOffer).max(MOST_ENGINES),
  /** Time stamp of the owner's last answer, which proves that this message is younger; null for none. */
  proof: z.number().nullable(),
});

/** What the engines of one daemon want of one store. */
export type PermitRequest = z.infer<typeof permitRequest>;

/** The answer to what engines want. */
export interface PermitRequestAnswer {
  /** Whether this daemon owns the store and takes the shares of the engines that it was told of. */
  readonly accepted: boolean;
  /** To be sent back with the next message. */
  readonly proof: number;
  /** Name and incarnation of the daemon that answers. */
  readonly owner: string;
}

const permitGrant = z.object({
  store: name,
  engine: name,
  key: name,
  id: z.number(),
  /** Time stamp of the store's owner, by its own clock; a grant that comes late is not used. */
  issuedAt: z.number(),
});

/** Leave to load. */
export type PermitGrant = z.infer<typeof permitGrant>;

const permitRedirect = z.object({ engine: name, key: name, to: name });

/** Tells an engine's owner that another engine loads what its requests wait for. */
export type PermitRedirect = z.infer<typeof permitRedirect>;

const permitDone = z.object({ store: name, id: z.number(), outcome: z.enum(PermitOutcome) });

/** The end of a permit. */
export type PermitDone = z.infer<typeof permitDone>;

/** Tells what engines want, and hands their shares of the rate over for a while. */
export const PERMIT_REQUEST: PeerProcedure<PermitRequest, PermitRequestAnswer> = {
  name: 'permit.request',
  parse: (raw) => permitRequest.parse(raw),
};

/** Gives leave to load; the answer tells whether it is used. */
export const PERMIT_GRANT: PeerProcedure<PermitGrant, boolean> = {
  name: 'permit.grant',
  parse: (raw) => permitGrant.parse(raw),
};

/** Redirects waiting requests. */
export const PERMIT_REDIRECT: PeerProcedure<PermitRedirect, null> = {
  name: 'permit.redirect',
  parse: (raw) => permitRedirect.parse(raw),
};

/** Ends a permit. */
export const PERMIT_DONE: PeerProcedure<PermitDone, null> = {
  name: 'permit.done',
  parse: (raw) => permitDone.parse(raw),
};

function toWireWant(want: LoadWant, now: number): WireWant {
  const { key, model, replica, waiting, oldestAt, deadlineAt, priority, eventAt, popularity } = want;
  return {
    key,
    model,
    replica,
    waiting,
    priority,
    popularity,
    ageMs: now - oldestAt,
    deadlineMs: deadlineAt === Infinity ? null : deadlineAt - now,
    eventMs: eventAt === undefined ? null : eventAt - now,
  };
}

function fromWireWant(engine: string, want: WireWant, now: number): LoadWant {
  const { ageMs, deadlineMs, eventMs, ...same } = want;
  return {
    ...same,
    engine,
    oldestAt: now - ageMs,
    deadlineAt: deadlineMs === null ? Infinity : now + deadlineMs,
    eventAt: eventMs === null ? undefined : now + eventMs,
  };
}

/**
 * Makes the message of an offer; when there are more wants than fit, the oldest go.
 * @param offer - The offer.
 * @param loading - Whether the engine loads now.
 * @param now - Monotonic milliseconds of the sender.
 */
export function toWireOffer(offer: EngineOffer, loading: boolean, now: number): WireOffer {
  const byAge = [...offer.wants].sort((left, right) => left.oldestAt - right.oldestAt).slice(0, MOST_WANTS);
  const wants = byAge.map((want) => toWireWant(want, now));
  const room = offer.room && { ...offer.room, victims: offer.room.victims.slice(0, MOST_VICTIMS) };
  return { engine: offer.engine, wants, room: room ?? null, loading };
}

/**
 * Reads the message of an offer.
 * @param offer - The message.
 * @param now - Monotonic milliseconds of the receiver.
 */
export function fromWireOffer(offer: WireOffer, now: number): EngineOffer {
  const wants = offer.wants.map((want) => fromWireWant(offer.engine, want, now));
  return { engine: offer.engine, wants, room: offer.room ?? undefined };
}
