/** Schema of every settings key: type, default, unit and the levels at which it may be set; checks of paths, values and changes. */
export * from './keyRow.ts'
export { findKey, listKeys } from './keys.ts'
export * from './paths.ts'
export { renderSettingsPage } from './renderPage.ts'
export * from './validateShape.ts'
export * from './validateValues.ts'
