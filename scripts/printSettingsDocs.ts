/** Writes docs/SETTINGS.md from the settings schema (`npm run docs:settings`). */
import { renderSettingsPage } from '@catkinferry/settings.schema'
import { writeFileSync } from 'node:fs'

writeFileSync(new URL('../docs/SETTINGS.md', import.meta.url), renderSettingsPage())
