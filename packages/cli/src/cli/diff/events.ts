/** Differences in events. */
import type { ConfigSnapshot, EventConfig } from '@celeryyoke/configuration';

import { compareLists } from './lists.js';
import type { Comparer } from './types.js';
import { ChangeGroup } from './types.js';

function keysOf(snapshot: ConfigSnapshot, event: EventConfig): string[] {
  return event.adapters.map(
    ({ adapter, version }) => snapshot.resolve(version === undefined ? adapter : `${adapter}@${version}`).key,
  );
}

/** Time that loading takes at the rate of all stores together. */
function describeLoads(snapshot: ConfigSnapshot, keys: readonly string[]): string {
  const rate = snapshot.config.stores.reduce((sum, { loadsPerSecond }) => sum + loadsPerSecond, 0);
  const megabytes = keys.reduce((sum, key) => sum + snapshot.resolve(key).sizeMb, 0);
  const seconds = Math.ceil(keys.length / rate);
  const adapters = keys.length === 1 ? '1 adapter' : `${keys.length} adapters`;
  return `${adapters} (${megabytes} MB), at least ${seconds} s at ${rate} loads a second`;
}

function describeTime({ startMs, endMs }: EventConfig): string {
  return `${new Date(startMs).toISOString()} to ${new Date(endMs).toISOString()}`;
}

/** Events. */
export const compareEvents: Comparer = function* compareEvents(before, after) {
  const { added, removed } = compareLists(before.config.events, after.config.events);
  for (const event of added) {
    const loads = describeLoads(after, keysOf(after, event));
    const text = `event ${event.name}, ${describeTime(event)}, is new; before its start load ${loads}.`;
    yield { group: ChangeGroup.Loads, text };
  }
  for (const { name } of removed) {
    const text = `event ${name} is cancelled; its adapters are no longer kept for it.`;
    yield { group: ChangeGroup.Loads, text };
  }
  const old = new Map(before.config.events.map((event) => [event.name, event]));
  for (const event of after.config.events) {
    const other = old.get(event.name);
    if (other !== undefined && describeTime(other) !== describeTime(event)) {
      const text = `event ${event.name} moves to ${describeTime(event)}, was ${describeTime(other)}.`;
      yield { group: ChangeGroup.Loads, text };
    }
    const known = new Set(other === undefined ? [] : keysOf(before, other));
    const keys = other === undefined ? [] : keysOf(after, event).filter((key) => !known.has(key));
    if (keys.length > 0) {
      const text = `event ${event.name}: before its start load also ${describeLoads(after, keys)}.`;
      yield { group: ChangeGroup.Loads, text };
    }
  }
};
