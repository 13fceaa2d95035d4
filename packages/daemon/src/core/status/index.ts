/** Status for operators. */
export { createStatusBoard } from './board.js';
export { createFleetQuestions } from './fleet.js';
export type { FleetQuestions, FleetQuestionsOptions } from './fleet.js';
export type { DrainAnswer } from './procedures.js';
export type { DaemonStatus, StatusBoard, StatusSection } from './types.js';
