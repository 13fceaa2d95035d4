/** The procedures that this daemon serves. */
import { CeleryyokeError, decode, encode } from '@celeryyoke/core';

import type { PeerHandler, PeerIdentity, PeerProcedure } from './types.js';

type RawHandler = (raw: unknown, from: PeerIdentity) => Promise<unknown>;

/** Handlers by the name of their procedure. */
export class ProcedureTable {
  private readonly handlers = new Map<string, RawHandler>();

  constructor(private readonly maxMessageBytes: number) {}

  /**
   * Adds a handler.
   * @param procedure - What it serves.
   * @param handler - The handler.
   */
  add<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.handlers.set(procedure.name, async (raw, from) => handler(procedure.parse(raw), from));
  }

  /**
   * Runs a procedure.
   * @param name - Its name.
   * @param raw - Its input, not yet checked.
   * @param from - The caller.
   * @returns Its output.
   * @throws CeleryyokeError PeerProcedureUnknown, or what the handler throws.
   */
  async run(name: string, raw: unknown, from: PeerIdentity): Promise<unknown> {
    const handler = this.handlers.get(name);
    if (handler === undefined) throw new CeleryyokeError('PeerProcedureUnknown', { procedure: name });
    return handler(raw, from);
  }

  /**
   * Runs a procedure for a peer.
   * @param name - Its name.
   * @param input - Its input, packed.
   * @param from - The peer.
   * @returns Its output, packed.
   */
  async runPacked(name: string, input: Uint8Array, from: PeerIdentity): Promise<Uint8Array> {
    return this.pack(await this.run(name, decode(input), from));
  }

  /**
   * Packs a message within its bound.
   * @param value - The message.
   * @returns Its bytes.
   * @throws CeleryyokeError PeerMessageTooLarge.
   */
  pack(value: unknown): Uint8Array<ArrayBuffer> {
    const bytes = encode(value);
    const { maxMessageBytes } = this;
    if (bytes.length > maxMessageBytes) {
      throw new CeleryyokeError('PeerMessageTooLarge', { bytes: bytes.length, limit: maxMessageBytes });
    }
    return bytes;
  }
}
