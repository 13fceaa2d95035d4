/** Reads sites from documents and from packed files. */
import { readdir, readFile, stat } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import type { SiteConfig, SiteReading, SourceText } from '@celeryyoke/configuration';
import { loadSite, packSite, readSite, unpackSite } from '@celeryyoke/configuration';
import { CeleryyokeError } from '@celeryyoke/core';

/** Separates base and overlay in one argument. */
const PAIR_SEPARATOR = ':';

const ROOT_FILE = 'root';

const PARTS_FOLDER = 'parts';

/** A site and where it comes from. */
export interface NamedSite {
  /** The argument that named it. */
  readonly label: string;
  readonly config: SiteConfig;
}

function fail(reason: string, cause?: unknown): CeleryyokeError {
  return new CeleryyokeError('CommandInvalid', { reason }, { cause });
}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (err) {
    throw fail(`${file} can't be read: ${(err as Error).message}.`, err);
  }
}

async function readSource(file: string): Promise<SourceText> {
  return { file, text: await readText(file) };
}

/**
 * Reads documents with all their mistakes.
 * @param base - The base file.
 * @param overlay - The overlay file.
 * @returns What reading them gave.
 */
export async function readDocuments(base: string, overlay: string): Promise<SiteReading> {
  return readSite(await readSource(base), await readSource(overlay));
}

/**
 * Reads documents that must be good.
 * @param base - The base file.
 * @param overlay - The overlay file.
 * @returns The effective configuration.
 * @throws CeleryyokeError ConfigInvalid with the first mistake.
 */
export async function loadDocuments(base: string, overlay: string): Promise<SiteConfig> {
  return loadSite(await readSource(base), await readSource(overlay));
}

async function isFolder(path: string): Promise<boolean> {
  return stat(path).then(
    (found) => found.isDirectory(),
    () => false,
  );
}

/** Finds the one root document below a folder that `pack` wrote. */
async function findRoot(folder: string): Promise<string> {
  const files = await readdir(folder, { recursive: true });
  const roots = files.filter((file) => file === ROOT_FILE || file.endsWith(`/${ROOT_FILE}`));
  if (roots.length === 1) return join(folder, roots[0]!);
  throw fail(`${folder} holds ${roots.length} root documents, expected one.`);
}

async function loadPacked(path: string): Promise<SiteConfig> {
  const root = (await isFolder(path)) ? await findRoot(path) : path;
  const folder = join(dirname(root), PARTS_FOLDER);
  const digests = await readdir(folder).catch((err: unknown) => {
    throw fail(`${folder} can't be read.`, err);
  });
  const parts = new Map<string, string>();
  for (const digest of digests) parts.set(digest, await readText(join(folder, digest)));
  return unpackSite(await readText(root), parts).config;
}

/** Brings lists into the order in which they are published, so that order alone is no difference. */
function normalize(config: SiteConfig): SiteConfig {
  const { root, parts } = packSite(config, 1);
  return unpackSite(root, parts).config;
}

/**
 * Reads a site from one argument.
 * @param argument - `BASE:OVERLAY`, or a folder or root document that `pack` wrote.
 * @returns The site.
 */
export async function loadArgument(argument: string): Promise<NamedSite> {
  const [base = '', overlay, ...rest] = argument.split(PAIR_SEPARATOR);
  if (rest.length > 0) throw fail(`"${argument}" has more than one ":", expected BASE:OVERLAY.`);
  const config = overlay === undefined ? await loadPacked(base) : await loadDocuments(base, overlay);
  return { label: argument, config: normalize(config) };
}
