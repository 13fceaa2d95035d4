/** Differences in callers, services, stores, domains, models and the policy. */
import type { PlainServiceConfig } from '@celeryyoke/configuration';

import { compareLists, describeFields } from './lists.js';
import type { Change, Comparer } from './types.js';
import { ChangeGroup } from './types.js';

interface Named {
  readonly name: string;
}

function* describeList(
  what: string,
  group: ChangeGroup,
  before: readonly Named[],
  after: readonly Named[],
): Generator<Change> {
  const { added, removed, changed } = compareLists(before, after);
  for (const { name } of added) yield { group, text: `${what} ${name} is new.` };
  for (const { name } of removed) yield { group, text: `${what} ${name} is gone.` };
  for (const pair of changed) {
    yield { group, text: `${what} ${pair.after.name}: ${describeFields(pair.before, pair.after)}.` };
  }
}

/** Plain services, with their upstreams one by one. */
function* describeServices(
  before: readonly PlainServiceConfig[],
  after: readonly PlainServiceConfig[],
): Generator<Change> {
  const bare = ({ upstreams, ...rest }: PlainServiceConfig): Named => rest;
  yield* describeList('service', ChangeGroup.Callers, before.map(bare), after.map(bare));
  for (const service of after) {
    const old = before.find(({ name }) => name === service.name)?.upstreams;
    if (old !== undefined) {
      yield* describeList(`service ${service.name}: upstream`, ChangeGroup.Moves, old, service.upstreams);
    }
  }
}

/** Callers and plain services, which callers notice. */
export const compareCallers: Comparer = function* compareCallers({ config: before }, { config: after }) {
  yield* describeList('caller', ChangeGroup.Callers, before.callers, after.callers);
  yield* describeServices(before.services, after.services);
};

/** Everything that is set once for a site. */
export const compareSettings: Comparer = function* compareSettings({ config: before }, { config: after }) {
  if (before.site !== after.site) {
    yield { group: ChangeGroup.Settings, text: `the site is ${after.site}, was ${before.site}.` };
  }
  yield* describeList('failure domain', ChangeGroup.Settings, before.domains, after.domains);
  yield* describeList('base model', ChangeGroup.Settings, before.models, after.models);
  yield* describeList('weight store', ChangeGroup.Settings, before.stores, after.stores);
  const policy = describeFields(before.policy, after.policy);
  if (policy !== '') yield { group: ChangeGroup.Settings, text: `policy: ${policy}.` };
};
