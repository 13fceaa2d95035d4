/**
 * Heartbeat section in which owners publish the state of their engines; its size is bounded by the engines'
 * slots.
 */
import { SlotState } from '@celeryyoke/placement';
import { z } from 'zod';

import type { HeartbeatSection } from '../peers/index.js';
import type { EngineState } from './site.js';

/** Bounds on the engines in one section, and on the slots of one engine. */
const MAX_ENGINES = 64;
const MAX_SLOTS_PER_ENGINE = 512;
/** Unchanged slots are sent again after this many heartbeats. */
const FULL_STATE_INTERVAL_HEARTBEATS = 10;

const siteSection = z.array(
  z.object({
    engine: z.string(),
    running: z.number(),
    waiting: z.number(),
    healthy: z.boolean(),
    granting: z.boolean(),
    warmth: z.number(),
    /** Left out when the slots have not changed since the last heartbeat to this peer. */
    keys: z.array(z.object({ key: z.string(), state: z.enum(SlotState) })).optional(),
  }),
);

type WireState = z.infer<typeof siteSection>[number];

/** State of one engine as it was last sent to one peer. */
interface SentState {
  keys: ReadonlyMap<string, SlotState>;
  /** Number of heartbeats to the peer that included the engine. */
  heartbeats: number;
}

function toWire(state: EngineState, sent: SentState | undefined): WireState {
  const { engine, running, waiting, healthy, granting, warmth } = state;
  const counters = { engine, running, waiting, healthy, granting, warmth };
  if (sent?.keys === state.keys && sent.heartbeats % FULL_STATE_INTERVAL_HEARTBEATS !== 0) return counters;
  const keys = [...state.keys].slice(0, MAX_SLOTS_PER_ENGINE).map(([key, slot]) => ({ key, state: slot }));
  return { ...counters, keys };
}

/**
 * Creates the section.
 * @param ownStates - States of the engines that this daemon owns.
 * @param merge - Called with each engine state from a peer.
 */
export function createSiteSection(
  ownStates: ReadonlyMap<string, EngineState>,
  merge: (state: EngineState) => void,
): HeartbeatSection {
  const sentTo = new Map<string, Map<string, SentState>>();
  const lastKeys = new Map<string, ReadonlyMap<string, SlotState>>();
  return {
    name: 'site',
    collect(peer) {
      if (ownStates.size === 0) return undefined;
      const previous = sentTo.get(peer);
      const current = new Map<string, SentState>();
      const states = [...ownStates.values()].slice(0, MAX_ENGINES).map((state) => {
        const sent = previous?.get(state.engine);
        current.set(state.engine, { keys: state.keys, heartbeats: (sent?.heartbeats ?? 0) + 1 });
        return toWire(state, sent);
      });
      sentTo.set(peer, current);
      return states;
    },
    merge(_from, data) {
      for (const { keys, ...counters } of siteSection.parse(data)) {
        if (keys !== undefined)
          lastKeys.set(counters.engine, new Map(keys.map((slot) => [slot.key, slot.state])));
        merge({ ...counters, keys: lastKeys.get(counters.engine) ?? new Map() });
      }
    },
  };
}
