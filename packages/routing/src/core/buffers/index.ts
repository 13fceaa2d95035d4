/** Memory of bodies that are held, and its limit. */
export { BufferBudget } from './buffer-budget.js';
export { BudgetedBuffer, BufferLimit } from './budgeted-buffer.js';
export { ChunkBatch } from './chunk-batch.js';
