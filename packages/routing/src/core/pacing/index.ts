/** Admits prompts to engines, spaced so that their prefill does not widen the gaps of running streams. */
export type { PromptAdmissionOptions } from './admission.js';
export { PromptAdmission } from './admission.js';
export { PromptPacer } from './prompt-pacer.js';
export { PrefillRate } from './prefill-rate.js';
export type { AdmissionDecision, AdmissionRequest, Prompt, PrefillSample } from './types.js';
export { AdmissionVerdict } from './types.js';
