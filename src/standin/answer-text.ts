import { createHash } from 'node:crypto'

/** Tokens of the answer to a prompt. They depend on the prompt alone, so that callers can check that an answer is whole and their own. */
export function answerTokens (prompt: string, count: number): string[] {
  const digest = createHash('sha256').update(prompt).digest('hex')
  return Array.from({ length: count }, (_, index) => ` ${digest.slice((index * 4) % 60, (index * 4) % 60 + 4)}${index}`)
}
