/** Reads a base document and an overlay into the effective configuration of a site. */
import { CeleryyokeError } from '@celeryyoke/core';

import { checkSite } from '../checks/index.js';
import type { SiteConfig } from '../model/types.js';
import type { PathProblem } from '../schema/index.js';
import { explainIssues, siteDocumentSchema } from '../schema/index.js';
import type { ConfigProblem, SourceNode, SourceText } from '../source/index.js';
import { formatPath, formatPlace, parseSource, placeOf, placeOfKey, toValue } from '../source/index.js';
import { applyDefaults } from './defaults.js';
import { mapDocument } from './map.js';
import { mergeSources } from './merge.js';

/** What reading documents gives. */
export interface SiteReading {
  /** The effective configuration; undefined when something is wrong. */
  readonly config: SiteConfig | undefined;
  /** The merged document with the place of each value, as far as it could be read. */
  readonly merged: SourceNode | undefined;
  /** What is wrong. */
  readonly problems: readonly ConfigProblem[];
}

function locate(root: SourceNode, problem: PathProblem): ConfigProblem {
  const place =
    problem.key === undefined ? placeOf(root, problem.path) : placeOfKey(root, problem.path, problem.key);
  return { place, path: formatPath(root, problem.path), reason: problem.reason };
}

function readMerged(root: SourceNode): SiteReading {
  const filled = applyDefaults(root);
  const refuse = (problems: readonly PathProblem[]): SiteReading => ({
    config: undefined,
    merged: filled,
    problems: problems.map((problem) => locate(filled, problem)),
  });
  const parsed = siteDocumentSchema.safeParse(toValue(filled));
  if (!parsed.success) return refuse(explainIssues(siteDocumentSchema, parsed.error));
  const { config, problems } = mapDocument(parsed.data);
  const all = [...problems, ...checkSite(config)];
  return all.length > 0 ? refuse(all) : { config, merged: filled, problems: [] };
}

/**
 * Reads documents.
 * @param base - The base document.
 * @param overlay - What differs at one site; a base document that is whole needs none.
 * @returns The effective configuration, or what is wrong.
 */
export function readSite(base: SourceText, overlay?: SourceText): SiteReading {
  const under = parseSource(base);
  const over = overlay && parseSource(overlay);
  const broken = [...under.problems, ...(over?.problems ?? [])];
  if (broken.length > 0 || under.node === undefined) {
    return { config: undefined, merged: undefined, problems: broken };
  }
  const { node, problems } = mergeSources(under.node, over?.node);
  if (problems.length > 0) return { config: undefined, merged: node, problems };
  return readMerged(node);
}

/**
 * Writes a problem as one line.
 * @param problem - The problem.
 * @returns Such as `base.yaml:12:3 engines[ct-1].slots: expected ...`.
 */
export function formatProblem({ place, path, reason }: ConfigProblem): string {
  return path === '' ? `${formatPlace(place)} ${reason}` : `${formatPlace(place)} ${path}: ${reason}`;
}

/**
 * Reads documents that must be good.
 * @param base - The base document.
 * @param overlay - What differs at one site.
 * @returns The effective configuration.
 * @throws CeleryyokeError ConfigInvalid with the first thing that is wrong.
 */
export function loadSite(base: SourceText, overlay?: SourceText): SiteConfig {
  const { config, problems } = readSite(base, overlay);
  if (config !== undefined) return config;
  const [first] = problems;
  const more = problems.length > 1 ? ` (and ${problems.length - 1} more)` : '';
  throw new CeleryyokeError('ConfigInvalid', {
    place: first === undefined ? base.file : `${formatPlace(first.place)} ${first.path}`.trimEnd(),
    reason: `${first?.reason ?? 'is empty'}${more}`,
  });
}
