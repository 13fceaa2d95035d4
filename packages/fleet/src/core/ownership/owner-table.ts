/** Rendezvous hashing: every daemon with the same hosts computes the same owner of each resource. */
import { hash32 } from '@celeryyoke/core';

const WORD = 2 ** 32;
const HALF_WORD = 2 ** 16;
const ROUNDS = 4;

/** Brings a whole number into the range of an unsigned 32-bit integer. */
function toWord(value: number): number {
  return value - Math.floor(value / WORD) * WORD;
}

/** Swaps the halves of a word, so that the well mixed upper bits go on to mix the others. */
function swapHalves(word: number): number {
  const upper = Math.floor(word / HALF_WORD);
  return (word - upper * HALF_WORD) * HALF_WORD + upper;
}

/**
 * Mixes two hashes to a rank. Names are hashed once and only their hashes are mixed for each pair, since a large
 * fleet has hundreds of thousands of pairs at each change of the list. Each round is the quadratic step of the
 * cipher RC6, `x * (2x + 1)`, which is one-to-one on words.
 */
function rankOf(host: number, resource: number): number {
  let mixed = host;
  for (let round = 0; round < ROUNDS; round += 1) {
    mixed = toWord(mixed + resource);
    mixed = swapHalves(toWord(Math.imul(mixed, 2 * mixed + 1)));
  }
  return mixed;
}

/** A host that can own. */
interface Candidate {
  readonly name: string;
  readonly hash: number;
}

/** Owners under one set of hosts; each is computed once, when it is first asked for. */
export class OwnerTable {
  private readonly candidates: readonly Candidate[];

  private readonly owners = new Map<string, string | undefined>();

  /**
   * Makes a table.
   * @param hosts - Names of the hosts that can own.
   */
  constructor(hosts: readonly string[]) {
    this.candidates = [...hosts].sort().map((name) => ({ name, hash: hash32(name) }));
  }

  /**
   * Finds the owner of a resource.
   * @param resource - The resource.
   * @returns The host, or undefined when there is none.
   */
  ownerOf(resource: string): string | undefined {
    if (!this.owners.has(resource)) this.owners.set(resource, this.best(resource, ''));
    return this.owners.get(resource);
  }

  /**
   * Finds who would own a resource if one host were not there.
   * @param resource - The resource.
   * @param absent - The host.
   * @returns The next host, or undefined when there is none.
   */
  ownerWithout(resource: string, absent: string): string | undefined {
    return this.best(resource, absent);
  }

  private best(resource: string, absent: string): string | undefined {
    const hash = hash32(resource, 1);
    let best: string | undefined;
    let bestRank = -1;
    for (const candidate of this.candidates) {
      const rank = rankOf(candidate.hash, hash);
      if (rank <= bestRank || candidate.name === absent) continue;
      best = candidate.name;
      bestRank = rank;
    }
    return best;
  }
}
