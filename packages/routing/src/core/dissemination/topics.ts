/** The topics of the shared state: merges, collects and encodes rows through the handler of each topic. */
import type { DecisionLog } from '@celeryyoke/core';

import type { EncodedRows } from './batch.js';
import type { Topic, TopicHandler } from './types.js';

/** Rows that wait to be sent, by topic; a later row of the same key replaces an earlier one. */
export class RowSet {
  private readonly byTopic = new Map<Topic, Map<string, unknown>>();

  put(topic: Topic, key: string, row: unknown): void {
    const rows = this.byTopic.get(topic) ?? new Map<string, unknown>();
    this.byTopic.set(topic, rows);
    rows.set(key, row);
  }

  /** Removes and returns all rows. */
  takeAll(): [Topic, unknown[]][] {
    const found = [...this.byTopic].map(([topic, rows]): [Topic, unknown[]] => [topic, [...rows.values()]]);
    this.byTopic.clear();
    return found;
  }
}

/** Handlers of all topics, and operations on rows that call them. */
export class TopicRegistry {
  private readonly handlers = new Map<Topic, TopicHandler<unknown>>();

  constructor(private readonly log: Pick<DecisionLog, 'debug'>) {}

  register<Row>(topic: Topic, handler: TopicHandler<Row>): void {
    this.handlers.set(topic, handler);
  }

  /**
   * Returns the handler of a topic.
   * @returns Undefined for a topic that is not registered.
   */
  get(topic: Topic): TopicHandler<unknown> | undefined {
    return this.handlers.get(topic);
  }

  /**
   * Merges rows that another daemon sent. Rows of topics that are not registered and malformed ones are ignored.
   * @param onChanged - Called with each row that changed the state of this daemon.
   */
  merge(rows: EncodedRows, onChanged: (topic: Topic, key: string, row: unknown) => void): void {
    for (const [topic, encoded] of rows) {
      const handler = this.handlers.get(topic);
      for (const wire of handler === undefined ? [] : encoded) {
        const row = this.decode(topic, handler!, wire);
        if (row !== undefined && handler!.merge(row)) onChanged(topic, handler!.keyOf(row), row);
      }
    }
  }

  /** Decodes a row; undefined if it is malformed. */
  private decode(topic: Topic, handler: TopicHandler<unknown>, wire: unknown): unknown {
    try {
      return handler.decode(wire);
    } catch (err) {
      this.log.debug(`Ignored a row of topic ${topic}: ${String(err)}.`);
      return undefined;
    }
  }

  /** Encoded rows of all topics. */
  snapshot(): EncodedRows {
    return [...this.handlers].map(
      ([topic, handler]) => [topic, handler.snapshot().map((row) => handler.encode(row))] as const,
    );
  }

  /** Encodes rows of registered topics. */
  encode(rows: readonly (readonly [Topic, readonly unknown[]])[]): EncodedRows {
    return rows.map(([topic, found]) => {
      const handler = this.handlers.get(topic)!;
      return [topic, found.map((row) => handler.encode(row))] as const;
    });
  }
}
