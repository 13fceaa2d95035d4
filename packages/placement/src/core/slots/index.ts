/** The slots of an engine. */
export { createSlotTable } from './table.js';
export type { LoadPlan, SlotRequest, SlotTable, SlotTableOptions } from './types.js';
