/**
 * Airbnb's rules through their flat-config kin, with the users' own lines set above them:
 * generators and for-of are wanted, and layout is left to Prettier.
 */
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tsdoc from 'eslint-plugin-tsdoc';

/** Airbnb forbids for-in and labels too; only its rules against generators and for-of are lifted. */
const RESTRICTED_SYNTAX = [
  { selector: 'ForInStatement', message: 'Use Object.keys, Object.values or Object.entries.' },
  { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
  { selector: 'WithStatement', message: 'The with statement is not allowed in strict mode.' },
];

export default [
  { ignores: ['**/dist/**', 'node_modules/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: { 'tsdoc/syntax': 'error' },
  },
  {
    settings: { node: { version: '>=20.19.0' } },
    rules: {
      'no-restricted-syntax': ['error', ...RESTRICTED_SYNTAX],
      // Sequential awaits are how a task per connection is written straight down.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'no-underscore-dangle': 'off',
      'import-x/prefer-default-export': 'off',
      // TypeScript resolves imports itself, and faster.
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-relative-packages': 'off',
      'import-x/no-useless-path-segments': 'off',
      // The binaries of the packages are the compiled form of these files.
      'n/hashbang': ['error', { additionalExecutables: ['src/main.ts'] }],
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'n/global-require': 'off',
      'max-classes-per-file': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      'no-use-before-define': 'off',
      'consistent-return': 'off',
      'default-case': 'off',
    },
  },
  {
    files: [
      '**/test/**/*.ts',
      'packages/bench/**/*.ts',
      'packages/soak/**/*.ts',
      'packages/cli/**/*.ts',
      'scripts/**',
    ],
    rules: { 'no-console': 'off' },
  },
];
