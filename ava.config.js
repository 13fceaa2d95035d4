const TESTS = ['packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js'];
/** Tests that measure processes which others try to overload. */
const APART = ['packages/*/dist/test/**/hostile-*.test.js', 'platform/dist/test/**/hostile-*.test.js'];

/** Which tests run, and in how many processes; without a choice those that the command line names. */
const RUNS = {
  all: { files: TESTS, concurrency: 6 },
  together: { files: [...TESTS, ...APART.map((pattern) => `!${pattern}`)], concurrency: 6 },
  apart: { files: APART, concurrency: 1 },
};

export default {
  ...RUNS[process.env.CELERYYOKE_TEST_RUN ?? 'all'],
  timeout: '5m',
  workerThreads: false,
};
