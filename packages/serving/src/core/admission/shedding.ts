/** Chooses the request that an overloaded daemon turns away. */
import type { WaitingRequest } from './types.js';

function countByCaller(requests: Iterable<WaitingRequest>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { caller } of requests) counts.set(caller.name, (counts.get(caller.name) ?? 0) + 1);
  return counts;
}

/**
 * Chooses the request to turn away: of the lowest priority; among those, of the caller that waits with the most
 * requests for its weight; among those, the one that came last.
 * @param waiting - Requests that wait, in the order of their arrival.
 * @param newcomer - The request that there is no room for.
 * @returns The one that goes.
 */
export function chooseVictim(waiting: Iterable<WaitingRequest>, newcomer: WaitingRequest): WaitingRequest {
  const all = [...waiting, newcomer];
  const counts = countByCaller(all);
  const excess = ({ caller }: WaitingRequest): number => (counts.get(caller.name) ?? 0) / caller.weight;
  let victim = newcomer;
  for (const request of all.reverse()) {
    if (request.priority > victim.priority) continue;
    if (request.priority < victim.priority || excess(request) > excess(victim)) victim = request;
  }
  return victim;
}
