/** The kernel: services that find each other by name. */
export { createKernel } from './kernel.js';
export type { Kernel, Service, ServiceFinder } from './types.js';
