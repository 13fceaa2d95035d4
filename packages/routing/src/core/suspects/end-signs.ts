/** Signs that show that a replica has ended, and how sure each is. */
import { EndCertainty } from '@celeryyoke/core';

/**
 * Time after an end from which on bytes of its replica refute it, in milliseconds: a host that is slow reads late what the
 * replica had sent before.
 */
export const REFUTE_AFTER_MS = 800;

/** Time for which a replica sends nothing at all after a request to it, as it may have ended, in milliseconds. */
export const UNHEARD_AFTER_MS = 1000;

/** What shows that a replica has ended. */
export enum EndSign {
  /** All connections to it have closed, and it refuses new ones. */
  Closed = 'closed',
  /** Its entry was replaced by that of another start of the same replica. */
  Replaced = 'replaced',
  /** Its entry was removed while it was silent. */
  Removed = 'removed',
  /** It sends nothing on connections on which answers had begun, and peers have not heard from it either. */
  Silent = 'silent',
  /** A peer has reported it, and how sure it is. */
  Reported = 'reported',
}

/** How a sign is taken. */
export interface EndSignRule {
  readonly certainty: EndCertainty;
  /** Whether it is seen at the moment of the end; otherwise the end was at the last bytes from the replica. */
  readonly isDated: boolean;
}

/** Rules by sign, for what a daemon sees itself; a report of a peer has the certainty that it states. */
export const END_SIGNS: Readonly<Record<Exclude<EndSign, EndSign.Reported>, EndSignRule>> = {
  [EndSign.Closed]: { certainty: EndCertainty.Confirmed, isDated: true },
  [EndSign.Replaced]: { certainty: EndCertainty.Confirmed, isDated: false },
  [EndSign.Removed]: { certainty: EndCertainty.Confirmed, isDated: false },
  [EndSign.Silent]: { certainty: EndCertainty.Presumed, isDated: false },
};
