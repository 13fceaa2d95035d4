/** Types of the kernel. */

/** A part that the kernel starts, stops, and lets others find by its name. */
export interface Service<T = unknown> {
  /** Unique name under which others find it. */
  readonly name: string;
  /** Names of the services that must have started before it. */
  readonly needs?: readonly string[];
  /**
   * Starts the part.
   * @param kernel - Finds the services that it declares as needs, and no others.
   * @returns What others get when they look the name up.
   */
  start(kernel: ServiceFinder): Promise<T> | T;
  /** Stops the part; everything that needs it has stopped before. */
  stop?(): Promise<void> | void;
}

/** Finds started services. */
export interface ServiceFinder {
  /**
   * Finds a started service.
   * @param name - Its name.
   * @returns What its start returned.
   */
  get<T>(name: string): T;
}

/** The kernel: starts services in the order of their needs and stops them in reverse. */
export interface Kernel extends ServiceFinder {
  /**
   * Adds a service before the start.
   * @param service - The service.
   */
  register(service: Service): void;
  /** Starts everything; when one fails, stops what has started and rejects with its error. */
  start(): Promise<void>;
  /**
   * Stops everything that has started, in reverse order; during a start, it starts no further service.
   * @returns A promise that rejects with an AggregateError when some service failed to stop; all are tried.
   */
  stop(): Promise<void>;
}
