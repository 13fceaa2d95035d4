/** The sections of the heartbeat. */
import type { Log } from '@celeryyoke/core';

import { decode, encode } from '@celeryyoke/core';
import type { HeartbeatSection, PeerIdentity } from './types.js';

type PackedSections = Record<string, Uint8Array>;

/** Sections by their name. */
export class SectionTable {
  private readonly sections = new Map<string, HeartbeatSection>();

  constructor(
    private readonly maxSectionBytes: number,
    private readonly log: Log,
  ) {}

  /**
   * Adds a section.
   * @param section - The section.
   */
  add(section: HeartbeatSection): void {
    this.sections.set(section.name, section);
  }

  /**
   * Collects what a peer is sent. A section that fails or is too large is left out, so that it can't stop the others.
   * @param peer - The peer.
   * @returns The sections, packed; undefined when there is nothing to send.
   */
  collect(peer: string): Uint8Array<ArrayBuffer> | undefined {
    const packed: PackedSections = {};
    for (const section of this.sections.values()) {
      const bytes = this.collectOne(section, peer);
      if (bytes !== undefined) packed[section.name] = bytes;
    }
    return Object.keys(packed).length === 0 ? undefined : encode(packed);
  }

  /**
   * Gives each section what a peer sent; names that this build does not know are passed over.
   * @param from - The peer.
   * @param bytes - What {@link SectionTable.collect} made there.
   */
  absorb(from: PeerIdentity, bytes: Uint8Array | undefined): void {
    if (bytes === undefined) return;
    const packed = decode(bytes) as PackedSections;
    for (const [name, data] of Object.entries(packed)) {
      const section = this.sections.get(name);
      if (section !== undefined) this.absorbOne(section, from, data);
    }
  }

  private collectOne(section: HeartbeatSection, peer: string): Uint8Array | undefined {
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

  private absorbOne(section: HeartbeatSection, from: PeerIdentity, data: Uint8Array): void {
    try {
      section.absorb(from, decode(data));
    } catch (err) {
      this.log.error(`Section "${section.name}" from ${from.name} could not be taken in: ${String(err)}.`);
    }
  }
}
