/** Admits prompts to engines, spaced so that reading them does not stretch the pauses of the streams beside. */
export type { PromptAdmissionOptions } from './admission.js';
export { PromptAdmission } from './admission.js';
export { PromptPacer } from './pacer.js';
export { ReadingRate } from './reading-rate.js';
export type { AdmissionDecision, AdmissionRequest, Prompt, Reading } from './types.js';
export { Verdict } from './types.js';
