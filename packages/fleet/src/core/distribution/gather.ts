/** Gathers the parts of a set; a set that changes little decodes little. */
import type { DecodedSections, PartRef, RootDocument, Section } from '@celeryyoke/configuration';
import { assembleSite, createSnapshot, decodePart, partsOf } from '@celeryyoke/configuration';

import type { Parts } from './parts.js';

/** What the parts of one set hold, as far as they were gathered. */
export type DecodedParts = Map<string, DecodedSections[Section]>;

/** Names what a part holds; the same text at another position is judged anew. */
function refKey({ section, index, count, digest }: PartRef): string {
  return `${section}/${index}/${count}/${digest}`;
}

/**
 * Puts a gathered set together.
 * @param root - The root document.
 * @param decoded - What its parts hold.
 * @returns The snapshot.
 * @throws CeleryyokeError ConfigInvalid with place and reason.
 */
export function assemble(root: RootDocument, decoded: DecodedParts): ReturnType<typeof createSnapshot> {
  const lookUp = <Name extends Section>(ref: PartRef<Name>): DecodedSections[Name] =>
    decoded.get(refKey(ref)) as DecodedSections[Name];
  const { revision, config, digest } = assembleSite(root, lookUp);
  return createSnapshot(revision, config, digest);
}

/** Gathers parts for one daemon. */
export class Gatherer {
  /** What the parts in force hold, so that a change decodes only the parts that are new. */
  private inForce: DecodedParts = new Map();

  constructor(
    private readonly parts: Parts,
    private readonly lanes: number,
  ) {}

  /** Notes the set that was put in force. */
  keep(decoded: DecodedParts): void {
    this.inForce = decoded;
  }

  /**
   * Fetches and decodes the parts that are not known yet.
   * @param root - The root document.
   * @param decoded - What was gathered before; more is added.
   * @param signal - Gives up.
   * @returns A part that can't be had now, or undefined when the set is whole.
   * @throws CeleryyokeError ConfigInvalid when a part is wrong.
   */
  async gather(root: RootDocument, decoded: DecodedParts, signal: AbortSignal): Promise<PartRef | undefined> {
    const waiting = partsOf(root).filter((ref) => !decoded.has(refKey(ref)));
    let missing: PartRef | undefined;
    const lane = async (): Promise<void> => {
      for (let ref = waiting.pop(); ref !== undefined; ref = waiting.pop()) {
        signal.throwIfAborted();
        const known = this.inForce.get(refKey(ref));
        if (known !== undefined) {
          decoded.set(refKey(ref), known);
          continue;
        }
        const text = await this.parts.get(root.digest, ref.digest);
        if (text === undefined) missing = ref;
        else decoded.set(refKey(ref), decodePart(ref, text));
      }
    };
    await Promise.all(Array.from({ length: this.lanes }, lane));
    return missing;
  }
}
