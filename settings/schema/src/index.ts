/** Schema of every settings key: type, default, unit, where it may be set. */
export * from './keyRow.ts'
export { findKey, listKeys } from './keys.ts'
export * from './paths.ts'
export { renderSettingsPage } from './renderPage.ts'
export * from './validateShape.ts'
export * from './validateValues.ts'
