// Writes docs/openapi.json from the routes of the administration API; run after `npm run build`.
import { writeFileSync } from 'node:fs'
import { adminRoutes } from '../dist/admin/admin-routes.js'
import { openApiDocument } from '../dist/admin/openapi.js'

writeFileSync(new URL('../docs/openapi.json', import.meta.url), `${JSON.stringify(openApiDocument(adminRoutes), null, 2)}\n`)
