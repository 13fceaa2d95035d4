/** Settings of a process: one table, read from flags and environment variables. */
export { isHelpRequested } from './command-line.js';
export { flagOf, variableOf } from './names.js';
export { renderSettingsHelp, renderSettingsPage } from './pages.js';
export { readPeerKeys } from './peer-keys.js';
export { createSettings, readSettings } from './settings.js';
export { AuditTarget, SETTINGS_TABLE } from './table.js';
export type { SettingKey, Settings } from './table.js';
export type { Environment, SettingRow, SettingRows, SettingValues } from './types.js';
export { SettingType } from './types.js';
