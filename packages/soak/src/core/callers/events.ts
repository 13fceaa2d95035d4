/** Reads the events of a stream, which name the software version of the engine that wrote them. */

/** An event that a caller has received whole. */
export interface ReceivedEvent {
  readonly id: number;
  readonly softwareVersion: string;
}

const EVENT_END = '\n\n';
const EVENT = /^id: (\d+)\ndata: (\S+)$/;

/**
 * Reads a body until it ends, breaks or its reader stops.
 * @param onEvent - Called with each whole event; returns whether to read on.
 */
export async function readEvents(
  body: AsyncIterable<Buffer>,
  onEvent: (event: ReceivedEvent) => boolean,
): Promise<void> {
  let unread = '';
  for await (const chunk of body) {
    unread += chunk.toString('latin1');
    const texts = unread.split(EVENT_END);
    unread = texts.pop()!;
    for (const text of texts) {
      const [, id, softwareVersion] = EVENT.exec(text) ?? [];
      const event = { id: Number(id), softwareVersion: softwareVersion ?? '' };
      if (id !== undefined && !onEvent(event)) throw new Error('The caller has left.');
    }
  }
}
