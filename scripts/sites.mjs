/**
 * Makes sites that nobody has seen from a given one: other counts and sizes, drawn with a seed.
 *
 * Usage: node scripts/sites.mjs SITE DIRECTORY SEED [SEED…]
 * Writes DIRECTORY/site-SEED.toml for each seed, and the files that a site needs beside it. The marks and floors of its
 * days are those of the given site and say nothing; rules and faults do.
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';

import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** What is drawn for a site; ranges are those of the sites to come, with the extremes of a small one. */
function draw(seed) {
  const random = xoroshiro128plus(seed);
  const among = (values) => values[uniformInt(random, 0, values.length - 1)];
  return {
    among,
    cpuShare: among([0.3, 0.5, 0.675, 1]),
    memoryMb: among([250, 350, 600]),
    linkMbps: among([7, 50, 1000]),
    places: among([12, 24, 64]),
    adapterPlaces: among([4, 8, 12, 24]),
    adapters: among([100, 1000, 10_000]),
    skew: among([0.8, 1.2, 1.6]),
    /** Share of the traffic: a slower host serves less. */
    load: among([0.3, 0.6, 1]),
  };
}

const replaceNumber = (text, field, value) =>
  text.replace(new RegExp(`(\\b${field} = )[\\d.]+`, 'g'), `$1${value}`);

/** Host counts of each failure domain: uneven, at least one host in all. */
function redrawHosts(line, drawn) {
  const counted = line.replace(/count = \d+/, () => `count = ${drawn.among([1, 1, 2, 4])}`);
  const sized = replaceNumber(counted, 'cpu_share', drawn.cpuShare.toFixed(3));
  return replaceNumber(replaceNumber(sized, 'memory_mb', drawn.memoryMb), 'link_mbps', `${drawn.linkMbps}.0`);
}

function redrawService(line, drawn) {
  if (!line.includes('adapter_slots')) return line;
  const counted = line.replace(/count = \d+/g, () => `count = ${drawn.among([1, 2, 3, 4])}`);
  const placed = replaceNumber(replaceNumber(counted, 'slots', drawn.places), 'batch', drawn.places);
  return replaceNumber(placed, 'adapter_slots', drawn.adapterPlaces);
}

/** Lines of a site file by what they begin with. */
const CHANGES = [
  [/^ {2}\{ class = "front"/, redrawHosts],
  [/^ {2}\{ name = .*model = "llm"/, redrawService],
  [/^ {2}\{ name = "m\d+", mb = /, (line, drawn) => replaceNumber(line, 'adapters', drawn.adapters)],
  [/adapter_zipf/, (line, drawn) => replaceNumber(line, 'adapter_zipf', drawn.skew)],
  [
    /^ {2}\{ zone = .*per_s = /,
    (line, drawn) =>
      line.replace(/per_s = ([\d.]+)/, (_all, rate) => `per_s = ${(Number(rate) * drawn.load).toFixed(1)}`),
  ],
];

function redraw(text, seed) {
  const drawn = draw(seed);
  const lines = text.split('\n').map((line) => {
    const change = CHANGES.find(([form]) => form.test(line));
    return change === undefined ? line : change[1](line, drawn);
  });
  return { text: lines.join('\n'), drawn };
}

const [site, directory, ...seeds] = process.argv.slice(2);
if (site === undefined || directory === undefined || seeds.length === 0) {
  process.stderr.write('Usage: node scripts/sites.mjs SITE DIRECTORY SEED [SEED…]\n');
  process.exit(2);
}
mkdirSync(directory, { recursive: true });
const given = readFileSync(site, 'utf8');
const wire = /^wire = "([^"]+)"/m.exec(given)?.[1];
if (wire !== undefined) copyFileSync(path.join(path.dirname(site), wire), path.join(directory, wire));
for (const seed of seeds) {
  const { text, drawn } = redraw(given, Number(seed));
  writeFileSync(path.join(directory, `site-${seed}.toml`), text);
  // JSON leaves the function out.
  process.stdout.write(`site-${seed} ${JSON.stringify(drawn)}\n`);
}
