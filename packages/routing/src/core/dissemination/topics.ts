/** The topics of the shared state: merges, collects and writes rows without knowing what they mean. */
import type { EncodedRows } from './batch.js';
import type { Topic, TopicHandler } from './types.js';

/** Rows of several topics that wait to be sent, the latest of each name. */
export class RowSet {
  private readonly byTopic = new Map<Topic, Map<string, unknown>>();

  /**
   * Adds a row.
   * @param topic - Its topic.
   * @param key - Its name.
   * @param row - The row.
   */
  put(topic: Topic, key: string, row: unknown): void {
    const rows = this.byTopic.get(topic) ?? new Map<string, unknown>();
    this.byTopic.set(topic, rows);
    rows.set(key, row);
  }

  /** Takes all rows out. */
  drain(): [Topic, unknown[]][] {
    const found = [...this.byTopic].map(([topic, rows]): [Topic, unknown[]] => [topic, [...rows.values()]]);
    this.byTopic.clear();
    return found;
  }
}

/** The handlers of all topics. */
export class TopicRegistry {
  private readonly handlers = new Map<Topic, TopicHandler<unknown>>();

  /**
   * Registers a topic.
   * @param topic - The topic.
   * @param handler - Merges and writes its rows.
   */
  register<Row>(topic: Topic, handler: TopicHandler<Row>): void {
    this.handlers.set(topic, handler);
  }

  /**
   * Finds the handler of a topic.
   * @param topic - The topic.
   * @returns The handler, or undefined for a topic that this daemon does not know.
   */
  get(topic: Topic): TopicHandler<unknown> | undefined {
    return this.handlers.get(topic);
  }

  /**
   * Merges rows that another daemon sent.
   * @param rows - Encoded rows.
   * @param onNews - Called with each row that was news.
   */
  merge(rows: EncodedRows, onNews: (topic: Topic, key: string, row: unknown) => void): void {
    for (const [topic, encoded] of rows) {
      const handler = this.handlers.get(topic);
      for (const wire of handler === undefined ? [] : encoded) {
        const row = handler!.decode(wire);
        if (handler!.merge(row)) onNews(topic, handler!.keyOf(row), row);
      }
    }
  }

  /** All rows of all topics. */
  snapshot(): EncodedRows {
    return [...this.handlers].map(
      ([topic, handler]) => [topic, handler.snapshot().map((row) => handler.encode(row))] as const,
    );
  }

  /**
   * Encodes rows that were collected.
   * @param rows - Rows by topic.
   * @returns Their compact form.
   */
  encode(rows: readonly (readonly [Topic, readonly unknown[]])[]): EncodedRows {
    return rows.map(([topic, found]) => {
      const handler = this.handlers.get(topic)!;
      return [topic, found.map((row) => handler.encode(row))] as const;
    });
  }
}
