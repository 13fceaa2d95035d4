/** Rendezvous hashing: every daemon with the same hosts computes the same owner of each resource. */
import { hash32 } from '@celeryyoke/core';

const UINT32_RANGE = 2 ** 32;
const UINT16_RANGE = 2 ** 16;
const MIX_ROUNDS = 4;

function toUint32(value: number): number {
  return value - Math.floor(value / UINT32_RANGE) * UINT32_RANGE;
}

/**
 * Swaps the 16-bit halves of a word, so that the well mixed upper bits affect the others in the next round.
 */
function swapHalves(word: number): number {
  const upper = Math.floor(word / UINT16_RANGE);
  return (word - upper * UINT16_RANGE) * UINT16_RANGE + upper;
}

/**
 * Mixes the hashes of a host and a resource into a weight. Names are hashed once and only their hashes are
 * mixed for each pair, since a large fleet has hundreds of thousands of pairs at each change of the list.
 * Each round is the quadratic step of the cipher RC6, `x * (2x + 1)`, which is one-to-one on 32-bit words.
 */
function rendezvousWeight(host: number, resource: number): number {
  let mixed = host;
  for (let round = 0; round < MIX_ROUNDS; round += 1) {
    mixed = toUint32(mixed + resource);
    mixed = swapHalves(toUint32(Math.imul(mixed, 2 * mixed + 1)));
  }
  return mixed;
}

/** A host with the hash of its name. */
interface HashedHost {
  readonly name: string;
  readonly hash: number;
}

/** Resource owners for one set of hosts, by rendezvous hashing; each is computed on first use and cached. */
export class OwnerTable {
  private readonly hosts: readonly HashedHost[];

  private readonly owners = new Map<string, string | undefined>();

  /** @param hosts - Names of the hosts that can own resources. */
  constructor(hosts: readonly string[]) {
    this.hosts = [...hosts].sort().map((name) => ({ name, hash: hash32(name) }));
  }

  /**
   * Returns the owner of a resource.
   * @returns Name of the host, or undefined when there are no hosts.
   */
  ownerOf(resource: string): string | undefined {
    if (!this.owners.has(resource)) this.owners.set(resource, this.highestRanked(resource, ''));
    return this.owners.get(resource);
  }

  /**
   * Returns the host that would own a resource without the host `absent`.
   * @returns Name of the host, or undefined when there is no other.
   */
  ownerWithout(resource: string, absent: string): string | undefined {
    return this.highestRanked(resource, absent);
  }

  private highestRanked(resource: string, absent: string): string | undefined {
    const hash = hash32(resource, 1);
    let best: string | undefined;
    let bestRank = -1;
    for (const candidate of this.hosts) {
      const rank = rendezvousWeight(candidate.hash, hash);
      if (rank <= bestRank || candidate.name === absent) continue;
      best = candidate.name;
      bestRank = rank;
    }
    return best;
  }
}
