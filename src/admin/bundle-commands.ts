import { generateKeyPairSync } from 'node:crypto'
import { readFileSync, writeFileSync } from 'node:fs'
import { checkBundle } from '../bundles/check-bundle.js'
import type { Bundle } from '../bundles/bundle.js'
import type { Signature } from '../bundles/signature.js'
import { type BundleRoot, signRoot } from '../bundles/signed-bundle.js'
import { operationError, OperationErrorKind } from '../errors/operation-error.js'
import type { BundleOperations, Operation } from './bundle-operations.js'
import { type BundleChange, diffBundles } from './bundle-diff.js'
import { type Command, type CommandContext, done, formatTable, refused, required, UsageError } from './command.js'
import { sweepCommand } from './sweep-command.js'

/** Only the owner reads a private key. */
const PRIVATE_FILE_MODE = 0o600

/** Subcommands of `daisybarrow bundle`, by name. */
export const bundleCommands: Record<string, Command> = {
  check: async ({ input }) => {
    const checked = checkBundle(readJson(required(input[0], 'FILE', 'Name the JSON file of the bundle.')))
    if (checked.ok) return done({ ok: true }, 'the bundle is valid')
    return refused(operationError(OperationErrorKind.Malformed, 'bundle', `${checked.val.length} faults`, { faults: checked.val }))
  },
  propose: async ({ input, flags, operations }) => {
    const bundle = readJson(required(input[0], 'FILE', 'Name the JSON file of the bundle.'))
    const author = required(flags.author, '--author', 'Name who proposes the change.')
    if (flags.parent === undefined) throw new UsageError('--parent is missing. Give the version the bundle was made from, 0 for the first one.')
    const proposed = await operations().propose({ bundle, parent: flags.parent, author, note: flags.note ?? '' })
    if (proposed.err) return refused(proposed.val)
    return done({ proposal: proposed.val.id, version: proposed.val.decoded.version }, `proposal ${proposed.val.id} for version ${proposed.val.decoded.version}`)
  },
  rollback: async ({ input, flags, operations }) => {
    const author = required(flags.author, '--author', 'Name who proposes the change.')
    const proposed = await operations().rollBack({ version: versionOf(input[0]), author, ...(flags.note === undefined ? {} : { note: flags.note }) })
    if (proposed.err) return refused(proposed.val)
    return done({ proposal: proposed.val.id, version: proposed.val.decoded.version }, `proposal ${proposed.val.id} for version ${proposed.val.decoded.version}`)
  },
  sign: signCommand,
  status: statusCommand,
  show: async ({ input, operations }) => {
    const content = await contentOf(operations(), input[0])
    return content.err ? refused(content.val) : done(content.val, JSON.stringify(content.val.bundle, null, 2))
  },
  diff: async ({ input, operations }) => {
    const [before, after] = [required(input[0], 'FROM', 'Give a version or the id of a proposal.'), required(input[1], 'TO', 'Give a version or the id of a proposal.')]
    const [old, next] = [await contentOf(operations(), before), await contentOf(operations(), after)]
    if (old.err) return refused(old.val)
    if (next.err) return refused(next.val)
    const changes = diffBundles(old.val.bundle, next.val.bundle)
    return done(changes, changes.length === 0 ? 'no difference' : changes.map(formatChange).join('\n'))
  },
  history: async ({ flags, operations }) => {
    const history = await operations().history(flags.limit)
    if (history.err) return refused(history.val)
    return done(history.val, formatTable(history.val.map((root) => ({ ...rootRow(root), key: root.keyId }))))
  },
  keygen: async ({ flags }) => {
    const id = required(flags.keyId, '--key-id', 'Name the key; the name goes into each signature.')
    const out = required(flags.out, '--out', 'Name the file for the private key.')
    const { publicKey, privateKey } = generateKeyPairSync('ed25519')
    writeFileSync(out, privateKey.export({ type: 'pkcs8', format: 'pem' }), { mode: PRIVATE_FILE_MODE, flag: 'wx' })
    const trusted = { id, publicKey: String(publicKey.export({ type: 'spki', format: 'pem' })), revoked: false }
    return done(trusted, `add to trustedKeys in the settings of every process:\n${JSON.stringify(trusted, null, 2)}`)
  },
  sweep: sweepCommand
}

async function signCommand ({ input, flags, operations }: CommandContext): ReturnType<Command> {
  const id = required(input[0], 'PROPOSAL', 'Give the id printed by propose.')
  const privateKey = readText(required(flags.key, '--key', 'Name the file with the private key.'))
  const keyId = required(flags.keyId, '--key-id', 'Name the key as in trustedKeys.')
  const proposal = await operations().proposal(id)
  if (proposal.err) return refused(proposal.val)
  const signature = signWith(proposal.val.root, keyId, privateKey)
  const accepted = await operations().sign({ proposal: id, signature })
  if (accepted.err) return refused(accepted.val)
  return done(accepted.val, `version ${accepted.val.version} is accepted`)
}

function signWith (root: string, keyId: string, privateKey: string): Signature {
  try {
    return signRoot(root, keyId, privateKey).signature
  } catch (error) {
    throw new UsageError(`the file of --key has no usable private key (${String(error)}). Use a file made by keygen.`)
  }
}

async function statusCommand ({ operations }: CommandContext): ReturnType<Command> {
  const [head, proposals] = [await operations().head(), await operations().proposals()]
  if (head.err) return refused(head.val)
  if (proposals.err) return refused(proposals.val)
  const { root } = head.val
  const open = proposals.val.map(({ id, decoded }) => ({ ...rootRow(decoded), proposal: id, basedOnHead: decoded.parent === (root?.version ?? 0) }))
  const headText = root === null ? 'no version has been accepted yet' : formatTable([rootRow(root)])
  return done({ head: root, proposals: open }, `head\n${headText}\n\nopen proposals\n${formatTable(open)}`)
}

function rootRow ({ version, parent, author, proposedMs, note }: BundleRoot): Record<string, string | number> {
  return { version, parent, author, proposed: new Date(proposedMs).toISOString(), note }
}

async function contentOf (operations: BundleOperations, name: string | undefined): Operation<{ version: number, bundle: Bundle }> {
  if (name === undefined) return await operations.content()
  return /^\d+$/.test(name) ? await operations.content(Number(name)) : await operations.proposedContent(name)
}

function versionOf (text: string | undefined): number {
  const version = Number(required(text, 'VERSION', 'Give a version listed by history.'))
  if (!Number.isInteger(version) || version < 1) throw new UsageError(`VERSION ${text} is not a version. Give a version listed by history.`)
  return version
}

function formatChange ({ kind, field, before, after }: BundleChange): string {
  return `${kind} ${field}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
}

function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new UsageError(`${file} can't be read (${String(error)}). Name a readable file.`)
  }
}

function readJson (file: string): unknown {
  const text = readText(file)
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new UsageError(`${file} is not JSON (${String(error)}). Correct its syntax.`)
  }
}
