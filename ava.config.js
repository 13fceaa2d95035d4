export default {
  files: ['packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js'],
  timeout: '5m',
  concurrency: 6,
  workerThreads: false,
};
