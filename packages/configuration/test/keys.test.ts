/** Keys of adapters in one version. */
import { joinAdapterKey, splitAdapterKey } from '@celeryyoke/configuration';
import test from 'ava';

test('a key is taken apart as it was made, a separator in the version included', (t) => {
  for (const [adapter, version] of [
    ['a', '1'],
    ['a', 'v2@beta'],
    ['a', ''],
  ] as const)
    t.deepEqual(splitAdapterKey(joinAdapterKey(adapter, version)), { adapter, version });
});

test('a name alone has no version', (t) => {
  t.deepEqual(splitAdapterKey('a'), { adapter: 'a', version: undefined });
});
