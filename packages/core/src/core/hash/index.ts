/** Hashing: one hash for every decision that daemons must compute alike. */
export { hash32, hash64, hashText } from './xxhash.js';
