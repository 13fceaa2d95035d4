/** Registry of the heartbeat sections, in which modules publish their state to peers. */
import type { Log } from '@celeryyoke/core';

import { decode, encode } from '@celeryyoke/core';
import type { HeartbeatSection, PeerIdentity } from './types.js';

type EncodedSections = Record<string, Uint8Array>;

/** Collects the sections to send in a heartbeat and passes on those received, isolating their errors. */
export class SectionTable {
  private readonly sections = new Map<string, HeartbeatSection>();

  constructor(
    private readonly maxSectionBytes: number,
    private readonly log: Log,
  ) {}

  /** Registers a section; replaces an earlier one of the same name. */
  add(section: HeartbeatSection): void {
    this.sections.set(section.name, section);
  }

  /**
   * Collects the sections for a peer. One that fails or is too large is left out, so that the others are
   * still sent.
   * @returns The encoded sections; undefined when there is nothing to send.
   */
  collect(peer: string): Uint8Array<ArrayBuffer> | undefined {
    const encoded: EncodedSections = {};
    for (const section of this.sections.values()) {
      const bytes = this.collectSection(section, peer);
      if (bytes !== undefined) encoded[section.name] = bytes;
    }
    return Object.keys(encoded).length === 0 ? undefined : encode(encoded);
  }

  /**
   * Passes each received section to the registered section of that name; unknown names are ignored.
   * @param bytes - Result of {@link SectionTable.collect} at the peer.
   */
  merge(from: PeerIdentity, bytes: Uint8Array | undefined): void {
    if (bytes === undefined) return;
    const encoded = decode(bytes) as EncodedSections;
    for (const [name, data] of Object.entries(encoded)) {
      const section = this.sections.get(name);
      if (section !== undefined) this.mergeSection(section, from, data);
    }
  }

  private collectSection(section: HeartbeatSection, peer: string): Uint8Array | undefined {
    try {
      const data = section.collect(peer);
      if (data === undefined) return undefined;
      const bytes = encode(data);
      if (bytes.length <= this.maxSectionBytes) return bytes;
      this.log.error(`Section "${section.name}" of ${bytes.length} bytes is too large and was not sent.`);
    } catch (err) {
      this.log.error(`Section "${section.name}" could not be collected: ${String(err)}.`);
    }
    return undefined;
  }

  private mergeSection(section: HeartbeatSection, from: PeerIdentity, data: Uint8Array): void {
    try {
      section.merge(from, decode(data));
    } catch (err) {
      this.log.error(`Section "${section.name}" from ${from.name} could not be merged: ${String(err)}.`);
    }
  }
}
