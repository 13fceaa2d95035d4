/** Memory of bodies that are held. */
import { BudgetedBuffer, BufferBudget, BufferLimit, ChunkBatch } from '@celeryyoke/routing';
import test from 'ava';

const KIB = 1024;
const MIB = 1024 * KIB;

function hold(budget: BufferBudget, bytes: number): BudgetedBuffer | undefined {
  const buffer = new BudgetedBuffer(budget, 4 * MIB);
  return buffer.append(Buffer.alloc(bytes)) === undefined ? buffer : undefined;
}

// Guards against bodies without end that together take the memory of the daemon, or keep it from small ones.
test('large bodies share a limit, and small ones are held all the same', (t) => {
  const budget = new BufferBudget();
  t.is(hold(budget, 5 * MIB), undefined);
  const held: BudgetedBuffer[] = [];
  for (let next = hold(budget, 2 * MIB); next !== undefined; next = hold(budget, 2 * MIB)) held.push(next);
  const taken = held.length * 2 * MIB;
  t.true(taken >= 8 * MIB && taken <= 64 * MIB, `${taken} bytes`);
  t.truthy(hold(budget, 4 * KIB));
  held[0]!.release();
  t.truthy(hold(budget, MIB));
});

// Guards against a budget that shrinks for good with each body.
test('all memory is given back, however often a body is released', (t) => {
  const budget = new BufferBudget();
  for (let round = 0; round < 100; round += 1) {
    const buffer = new BudgetedBuffer(budget, MIB);
    for (let piece = 0; piece < 50; piece += 1) buffer.append(Buffer.alloc(KIB * (piece + 1)));
    buffer.release();
    buffer.release();
  }
  t.is(budget.takenBytes, 0);
});

// Guards against small pieces that take many times the memory that is counted.
test('what a body takes is counted with its overhead, and is less than thrice its length', (t) => {
  const budget = new BufferBudget();
  const buffer = new BudgetedBuffer(budget, MIB);
  const piece = Buffer.from('x');
  for (let count = 0; count < 100 * KIB; count += 1) t.is(buffer.append(piece), undefined);
  t.true(budget.takenBytes >= 100 * KIB && budget.takenBytes < 300 * KIB, `${budget.takenBytes} bytes`);
});

test('a body that is too long is told from one that memory is lacking for', (t) => {
  const budget = new BufferBudget();
  const short = new BudgetedBuffer(budget, KIB);
  t.is(short.append(Buffer.alloc(KIB)), undefined);
  t.is(short.append(Buffer.alloc(1)), BufferLimit.Size);
  while (hold(budget, 2 * MIB) !== undefined);
  const large = new BudgetedBuffer(budget, 4 * MIB);
  t.is(large.append(Buffer.alloc(2 * MIB)), BufferLimit.Memory);
});

// Guards against work for each of many small chunks.
test('the chunks of one step are passed on together, those of the next by themselves', async (t) => {
  const passed: string[] = [];
  const batch = new ChunkBatch((bytes) => passed.push(bytes.toString()));
  for (const text of ['a', 'b', 'c']) batch.add(Buffer.from(text));
  await Promise.resolve();
  batch.add(Buffer.from('d'));
  batch.flush();
  await Promise.resolve();
  t.deepEqual(passed, ['abc', 'd']);
});
