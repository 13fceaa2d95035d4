/**
 * Lists the names of the platform's protocol (headers, fields, settings) that no source file names, with the reason for
 * each from docs/unread-names.txt. Fails where a name has no reason, and where a name that is listed is read by now.
 *
 * Pages are read where they are at hand; elsewhere, as in CI, only the list is checked and printed. Further pages, such as
 * letters that announce a new term, are given as arguments.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';

const LIST = 'docs/unread-names.txt';
const PAGES_ROOT = '../given/kit/more/system';
const PAGE_FOLDERS = ['.', 'further', 'further-grown', 'grown', 'large', 'shifted'];
/** Describes a test bench, not the protocol. */
const BENCH_PAGE = 'BENCH.md';
const SOURCES = ['platform/src', 'packages/routing/src', 'deploy'];
/** A name in backticks: a header, or a field with its underscores. */
const NAME = /`([A-Z][A-Za-z]*(?:-[A-Z][A-Za-z]*)+|[a-z][a-z0-9]*(?:[_.][a-z0-9]+)*)`/g;

function findPages() {
  const folders = PAGE_FOLDERS.map((name) => `${PAGES_ROOT}/${name}`).filter((folder) => existsSync(folder));
  return folders.flatMap((folder) =>
    readdirSync(folder)
      .filter((file) => file.endsWith('.md') && file !== BENCH_PAGE)
      .map((file) => `${folder}/${file}`),
  );
}

function readSources() {
  const files = execFileSync('git', ['ls-files', ...SOURCES], { encoding: 'utf8' }).split('\n');
  const texts = files
    .filter((file) => /\.(ts|toml|mjs)$/.test(file))
    .map((file) => readFileSync(file, 'utf8'));
  return texts.join('\n').toLowerCase();
}

function readReasons() {
  const lines = readFileSync(LIST, 'utf8').split('\n');
  return new Map(
    lines.filter((line) => line.includes('|')).map((line) => line.split('|').map((part) => part.trim())),
  );
}

const sources = readSources();
const isRead = (name) => {
  const escaped = name.toLowerCase().replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  return new RegExp(`(?<![a-z0-9_-])${escaped}(?![a-z0-9_-])`).test(sources);
};

const reasons = readReasons();
const pages = [...findPages(), ...process.argv.slice(2)];
const names = new Set(
  pages.flatMap((page) => [...readFileSync(page, 'utf8').matchAll(NAME)].map(([, name]) => name)),
);
const withoutReason = [...names].filter((name) => !isRead(name) && !reasons.has(name));
const readByNow = [...reasons.keys()].filter(isRead);

for (const [name, reason] of reasons) console.log(`Not read: ${name} (${reason})`);
for (const name of withoutReason)
  console.error(`${name} is read by no source file, and ${LIST} gives no reason.`);
for (const name of readByNow) console.error(`${name} is read by now, and ${LIST} lists it.`);
console.log(`${reasons.size} names are read by no source file; ${pages.length} pages were compared.`);
process.exit(withoutReason.length + readByNow.length > 0 ? 1 : 0);
