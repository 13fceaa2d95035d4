/** Writes the docs pages that come from code: `npm run docs`. */
import { writeFileSync } from 'node:fs';

import { renderResultCodesPage, renderSettingsPage } from '@celeryyoke/core';

const PAGES = {
  'docs/RESULT_CODES.md': renderResultCodesPage,
  'docs/SETTINGS.md': renderSettingsPage,
};

Object.entries(PAGES).forEach(([path, render]) => writeFileSync(path, render()));
