/** Admits prompts to engines, spaced so that their prefill does not widen the gaps of running streams. */
export type { PromptAdmissionOptions } from './admission.js';
export { PromptAdmission } from './admission.js';
export { PromptPacer } from './pacer.js';
export { PrefillRate as ReadingRate } from './prefill-rate.js';
export type { AdmissionDecision, AdmissionRequest, Prompt, PrefillSample as Reading } from './types.js';
export { Verdict } from './types.js';
