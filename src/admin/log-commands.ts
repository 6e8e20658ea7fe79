import { readFileSync } from 'node:fs'
import { explainRequest } from '../gateway/explain-request.js'
import { type Command, done, ExitCode, UsageError } from './command.js'

/** Commands that read logs, by name. */
export const logCommands: Record<string, Command> = {
  explain: async ({ input }) => {
    const [id, ...files] = input
    if (id === undefined || files.length === 0) throw new UsageError('give the id of a request and the log files of all instances: daisybarrow explain ID FILE...')
    const explanation = explainRequest(id, files.flatMap((file) => readFileSync(file, 'utf8').split('\n')))
    const text = [...explanation.lines, `${explanation.ending ?? 'unknown'}: ${explanation.meaning}`].join('\n')
    return explanation.ending === null ? { exitCode: ExitCode.Incomplete, value: explanation, text } : done(explanation, text)
  }
}
