/** Differences in engines, and which adapters have another engine as their first candidate. */
import type { AdapterConfig, ConfigSnapshot } from '@celeryyoke/configuration';
import { joinAdapterKey } from '@celeryyoke/configuration';
import { rankCandidates } from '@celeryyoke/placement';

import { compareLists, describeFields } from './lists.js';
import type { Comparer } from './types.js';
import { ChangeGroup } from './types.js';

/** Adapters that are ranked at most; of more, a sample stands for all. */
const SAMPLE_LIMIT = 5000;

const PERCENT = 100;

function enginesByModel({ config }: ConfigSnapshot): Map<string, string[]> {
  const byModel = new Map<string, string[]>();
  for (const { name, model } of config.engines) byModel.set(model, [...(byModel.get(model) ?? []), name]);
  return byModel;
}

function firstCandidate(engines: Map<string, string[]>, { name, model, current }: AdapterConfig): string {
  return rankCandidates(joinAdapterKey(name, current), engines.get(model) ?? [], 1)[0] ?? '';
}

/** Share of the adapters of both configurations whose first candidate differs. */
function movedShare(before: ConfigSnapshot, after: ConfigSnapshot): number {
  const old = enginesByModel(before);
  const next = enginesByModel(after);
  let seen = 0;
  let moved = 0;
  for (const adapter of after.adapterPage(undefined, SAMPLE_LIMIT)) {
    if (before.adapter(adapter.name) !== undefined) {
      seen += 1;
      if (firstCandidate(old, adapter) !== firstCandidate(next, adapter)) moved += 1;
    }
  }
  return seen === 0 ? 0 : moved / seen;
}

/** Engines. */
export const compareEngines: Comparer = function* compareEngines(before, after) {
  const { added, removed, changed } = compareLists(before.config.engines, after.config.engines);
  for (const { name, domain, model, slots } of added) {
    const text = `engine ${name} in ${domain} is new: ${slots} slots of ${model}.`;
    yield { group: ChangeGroup.Moves, text };
  }
  for (const { name } of removed) {
    const text = `engine ${name} is gone; it gets no new requests, and those that run end there.`;
    yield { group: ChangeGroup.Moves, text };
  }
  for (const pair of changed) {
    const text = `engine ${pair.after.name}: ${describeFields(pair.before, pair.after)}.`;
    yield { group: ChangeGroup.Moves, text };
  }
  const share = movedShare(before, after);
  if (share > 0) {
    const part = (share * PERCENT).toFixed(share < 0.01 ? 2 : 0);
    const text = `about ${part}% of the adapters have another engine as their first candidate; those in use load there.`;
    yield { group: ChangeGroup.Moves, text };
  }
};
