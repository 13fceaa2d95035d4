/** Collects the status sections that parts have added. */
import type { StatusBoard, StatusSection } from './types.js';

/**
 * Makes an empty board.
 * @returns The board.
 */
export function createStatusBoard(): StatusBoard {
  const sections = new Map<string, StatusSection>();
  return {
    add(section) {
      sections.set(section.name, section);
    },
    collect: () => Object.fromEntries([...sections.values()].map((one) => [one.name, one.collect()])),
  };
}
