/** Registry of the procedures that this daemon serves to its peers. */
import { CeleryyokeError, decode, encode } from '@celeryyoke/core';

import type { PeerHandler, PeerIdentity, PeerProcedure } from './types.js';

type UncheckedHandler = (raw: unknown, from: PeerIdentity) => Promise<unknown>;

/** Runs procedures by name and bounds the size of the messages that they return. */
export class ProcedureTable {
  private readonly handlers = new Map<string, UncheckedHandler>();

  constructor(private readonly maxMessageBytes: number) {}

  /** Registers the handler of a procedure; replaces an earlier one of the same name. */
  add<Input, Output>(procedure: PeerProcedure<Input, Output>, handler: PeerHandler<Input, Output>): void {
    this.handlers.set(procedure.name, async (raw, from) => handler(procedure.parse(raw), from));
  }

  /**
   * Validates the input and runs a procedure.
   * @param raw - Unchecked input.
   * @param from - The calling daemon.
   * @throws CeleryyokeError PeerProcedureUnknown, or what the handler throws.
   */
  async run(name: string, raw: unknown, from: PeerIdentity): Promise<unknown> {
    const handler = this.handlers.get(name);
    if (handler === undefined) throw new CeleryyokeError('PeerProcedureUnknown', { procedure: name });
    return handler(raw, from);
  }

  /**
   * Runs a procedure for a peer, with encoded input and output.
   * @throws CeleryyokeError PeerProcedureUnknown, PeerMessageTooLarge, or what the handler throws.
   */
  async runEncoded(name: string, input: Uint8Array, from: PeerIdentity): Promise<Uint8Array> {
    return this.encodeMessage(await this.run(name, decode(input), from));
  }

  /**
   * Encodes a message.
   * @throws CeleryyokeError PeerMessageTooLarge when the result exceeds the limit of the settings.
   */
  encodeMessage(value: unknown): Uint8Array<ArrayBuffer> {
    const bytes = encode(value);
    const { maxMessageBytes } = this;
    if (bytes.length > maxMessageBytes) {
      throw new CeleryyokeError('PeerMessageTooLarge', { bytes: bytes.length, limit: maxMessageBytes });
    }
    return bytes;
  }
}
