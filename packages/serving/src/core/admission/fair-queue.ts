/**
 * A queue that is fair between callers by their weights (start-time fair queueing), and goes by priority and then by
 * arrival within one caller.
 */
import type { WaitingRequest } from './types.js';

/** What waits in the queue. */
export interface QueueEntry<T> {
  readonly request: WaitingRequest;
  readonly value: T;
}

/** One caller's share of the queue. */
interface Flow<T> {
  readonly entries: QueueEntry<T>[];
  /** Virtual time at which its first entry is served. */
  tag: number;
}

/** The queue. */
export class FairQueue<T> {
  private readonly flows = new Map<string, Flow<T>>();

  /** Virtual time: the tag of the entry that was served last. */
  private time = 0;

  private count = 0;

  /** How many entries wait. */
  get size(): number {
    return this.count;
  }

  /** Reads the requests that wait, caller by caller. */
  *requests(): Generator<WaitingRequest> {
    for (const { entries } of this.flows.values()) for (const { request } of entries) yield request;
  }

  /**
   * Adds an entry.
   * @param entry - The entry.
   */
  push(entry: QueueEntry<T>): void {
    const { caller, priority } = entry.request;
    let flow = this.flows.get(caller.name);
    if (flow === undefined) {
      flow = { entries: [], tag: 0 };
      this.flows.set(caller.name, flow);
    }
    if (flow.entries.length === 0) flow.tag = Math.max(flow.tag, this.time) + 1 / caller.weight;
    let index = flow.entries.length;
    while (index > 0 && flow.entries[index - 1]!.request.priority < priority) index -= 1;
    flow.entries.splice(index, 0, entry);
    this.count += 1;
  }

  /**
   * Takes the next entry out.
   * @returns The entry, or undefined when the queue is empty.
   */
  pop(): QueueEntry<T> | undefined {
    let first: Flow<T> | undefined;
    for (const [name, flow] of this.flows) {
      if (flow.entries.length > 0) {
        if (first === undefined || flow.tag < first.tag) first = flow;
      } else if (flow.tag <= this.time) {
        this.flows.delete(name);
      }
    }
    const entry = first?.entries.shift();
    if (first === undefined || entry === undefined) return undefined;
    this.count -= 1;
    this.time = first.tag;
    if (first.entries.length > 0) first.tag += 1 / entry.request.caller.weight;
    return entry;
  }

  /**
   * Takes an entry out that no longer waits.
   * @param entry - The entry.
   * @returns Whether it waited.
   */
  remove(entry: QueueEntry<T>): boolean {
    const flow = this.flows.get(entry.request.caller.name);
    const index = flow?.entries.indexOf(entry) ?? -1;
    if (flow === undefined || index < 0) return false;
    flow.entries.splice(index, 1);
    this.count -= 1;
    return true;
  }
}
