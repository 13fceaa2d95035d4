/** Requests under which upstreams crash. */

/** What is known of a request by its fingerprint. */
export enum Suspicion {
  Clear = 'clear',
  /** It was in flight on an upstream that crashed. */
  Suspect = 'suspect',
  /** It was in flight at several crashes, and what else was in flight at the last one is still being reported. */
  Unresolved = 'unresolved',
  /** It crashes upstreams, and is refused for a time. */
  Quarantined = 'quarantined',
}
